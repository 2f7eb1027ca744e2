//! A caller's request from the end of its head until its response is written: the bytes that it holds, the
//! reading of its body and the writing of its response.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::http::header::TRANSFER_ENCODING;
use actix_web::web;
use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::SemaphorePermit;
use tokio::time::timeout;

use mulberry_policy::caller_faults::CallerFault;
use mulberry_policy::memory_budget::HolderId;
use mulberry_policy::memory_budget::Reservation;
use mulberry_protocol::refusal::Refusal;
use mulberry_protocol::refusal::RefusalReason;

use crate::body_parts::BodyParts;
use crate::caller_stream::CallerConnection;
use crate::shared::SharedState;

/// Bytes of a body that are reserved and read at once.
const STEP_BYTES: usize = 64 * 1024;

/// The same for the beginning of a body that states no size.
const FIRST_UNSIZED_STEP_BYTES: usize = 4 * 1024;

/// Time for which a request waits for room, in milliseconds: a caller that sends on has progressed or has
/// been evicted by then.
const MAX_ROOM_WAIT_MS: u64 = 2_500;

/// Time after which a body that is not coming in gives its turn to others.
const MAX_TURN: Duration = Duration::from_millis(20);

/// Interval at which a waiting request looks for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `Retry-After` of requests that found no room, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// Bytes of a response that are handed to the HTTP server at once. It copies them into a buffer.
const RESPONSE_STEP_BYTES: usize = 16 * 1024;

/// Where the body of a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyLength {
    Stated(usize),
    Chunked,
}

/// A request that is being served.
pub struct RequestScope {
    shared: Arc<SharedState>,
    connection: Rc<CallerConnection>,
    holder: HolderId,
    length: BodyLength,
    is_body_read: Cell<bool>,
    /// Whether a part of the body has come since that was last recorded.
    has_progress: Cell<bool>,
}

impl RequestScope {
    /// Begins to serve a request, or returns `None` if it did not come over a [`CallerStream`].
    ///
    /// [`CallerStream`]: crate::caller_stream::CallerStream
    pub fn begin(shared: &Arc<SharedState>, req: &HttpRequest) -> Option<Rc<Self>> {
        let connection = req.conn_data::<Rc<CallerConnection>>()?.clone();
        connection.begin_request();
        let length = body_length(req);
        let stated = match length {
            BodyLength::Stated(bytes) => Some(bytes as u64),
            BodyLength::Chunked => None,
        };
        let holder = shared.memory().open(connection.address, stated);
        connection.holder.set(Some(holder));
        let is_body_read = Cell::new(length == BodyLength::Stated(0));
        let has_progress = Cell::new(false);
        let shared = shared.clone();
        Some(Rc::new(Self { shared, connection, holder, length, is_body_read, has_progress }))
    }

    /// Reads the whole body, and reserves its bytes before. A body over the limit is refused without being
    /// read on.
    pub async fn read_body(
        &self,
        mut payload: web::Payload,
        max_bytes: usize,
    ) -> Result<Bytes, Refusal> {
        let mut step = match self.length {
            BodyLength::Stated(0) => return Ok(Bytes::new()),
            BodyLength::Stated(bytes) if bytes > max_bytes => return Err(self.too_large(max_bytes)),
            BodyLength::Stated(_) => STEP_BYTES,
            BodyLength::Chunked => FIRST_UNSIZED_STEP_BYTES,
        };
        let mut body = BodyParts::with_first(match self.length {
            BodyLength::Stated(bytes) => bytes,
            BodyLength::Chunked => step,
        });
        let mut granted = 0;
        loop {
            let left = match self.length {
                BodyLength::Stated(bytes) => bytes - granted,
                BodyLength::Chunked => usize::MAX,
            };
            step = step.min(left);
            // The first part needs no turn, so that ordinary requests never wait for large ones.
            let turn = if granted > 0 { self.take_turn().await } else { None };
            if step > 0 {
                self.reserve(step).await?;
                self.connection.grant(step, self.length == BodyLength::Chunked);
                granted += step;
            }
            let has_more = left > step;
            let reading = self.read_step(&mut payload, &mut body, max_bytes, has_more);
            let is_complete = self.read_in_turn(turn, reading).await?;
            // The framing of chunks takes a part of what was granted. The HTTP server may still hold one
            // step.
            let kept = if is_complete { body.len() } else { body.len() + STEP_BYTES };
            let unused = granted.saturating_sub(kept);
            if self.length == BodyLength::Chunked || is_complete {
                self.shared.memory().release(self.holder, unused as u64);
                granted -= unused;
            }
            if is_complete {
                self.is_body_read.set(true);
                self.connection.pause();
                self.shared.memory().record_waiting(self.holder);
                return Ok(body.join());
            }
            step = STEP_BYTES;
        }
    }

    /// Waits until fewer than [`BODY_TURNS`] large bodies are being read.
    ///
    /// [`BODY_TURNS`]: crate::shared::BODY_TURNS
    async fn take_turn(&self) -> Option<SemaphorePermit<'_>> {
        if let Ok(turn) = self.shared.body_turns.try_acquire() {
            return Some(turn);
        }
        self.connection.pause();
        self.shared.memory().record_waiting(self.holder);
        self.shared.body_turns.acquire().await.ok()
    }

    /// Reads with a turn, which ends when the bytes don't come in soon.
    async fn read_in_turn(
        &self,
        turn: Option<SemaphorePermit<'_>>,
        reading: impl Future<Output = Result<bool, Refusal>>,
    ) -> Result<bool, Refusal> {
        let mut reading = pin!(reading);
        if turn.is_some()
            && let Ok(read) = timeout(MAX_TURN, &mut reading).await
        {
            return read;
        }
        drop(turn);
        reading.await
    }

    /// Reads until the granted bytes have come, if there are more behind them. Returns whether the body is complete.
    async fn read_step(
        &self,
        payload: &mut web::Payload,
        body: &mut BodyParts,
        max_bytes: usize,
        has_more: bool,
    ) -> Result<bool, Refusal> {
        loop {
            let next = poll_fn(|cx| self.poll_chunk(payload, has_more, cx)).await;
            if let Some(fault) = self.connection.fault() {
                return Err(self.refuse(fault));
            }
            match next {
                NextChunk::Chunk(chunk) if body.len() + chunk.len() > max_bytes => {
                    return Err(self.too_large(max_bytes));
                }
                NextChunk::Chunk(chunk) => body.push(&chunk),
                NextChunk::Complete => return Ok(true),
                NextChunk::GrantUsed => return Ok(false),
                NextChunk::Broken(e) => return Err(Refusal::not_run(RefusalReason::Malformed, e)),
            }
        }
    }

    fn poll_chunk(
        &self,
        payload: &mut web::Payload,
        has_more: bool,
        cx: &mut Context<'_>,
    ) -> Poll<NextChunk> {
        let polled = Pin::new(payload).poll_next(cx);
        if polled.is_pending() && self.has_progress.replace(false) {
            self.shared.memory().record_progress(self.holder, self.shared.clock.now());
        }
        match polled {
            Poll::Ready(Some(Ok(chunk))) => {
                self.has_progress.set(true);
                Poll::Ready(NextChunk::Chunk(chunk))
            }
            Poll::Ready(Some(Err(e))) => Poll::Ready(NextChunk::Broken(e.to_string())),
            Poll::Ready(None) => Poll::Ready(NextChunk::Complete),
            Poll::Pending if self.connection.fault().is_some() => {
                Poll::Ready(NextChunk::Broken("evicted".to_owned()))
            }
            Poll::Pending if has_more && self.connection.is_grant_used() => {
                Poll::Ready(NextChunk::GrantUsed)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    /// Reserves bytes, and waits for room if there is none. Meanwhile nothing is read from the caller.
    async fn reserve(&self, bytes: usize) -> Result<(), Refusal> {
        let began = self.shared.clock.now();
        loop {
            if let Some(fault) = self.connection.fault() {
                return Err(self.refuse(fault));
            }
            let now = self.shared.clock.now();
            let reserved = self.shared.memory().reserve(self.holder, bytes as u64, now);
            match reserved {
                Reservation::Granted => {
                    self.shared.memory().record_progress(self.holder, now);
                    return Ok(());
                }
                Reservation::TooLarge => return Err(self.refuse(CallerFault::NoRoom)),
                Reservation::Full { evict } => {
                    self.connection.pause();
                    self.shared.memory().record_waiting(self.holder);
                    self.shared.evict(evict);
                    if now.since(began) >= MAX_ROOM_WAIT_MS {
                        return Err(self.refuse(CallerFault::NoRoom));
                    }
                }
            }
            tokio::time::sleep(ROOM_POLL_INTERVAL).await;
        }
    }

    /// Reserves the bytes of a response that is held until the caller has read it.
    pub fn reserve_response(&self, bytes: usize) -> Result<(), Refusal> {
        let now = self.shared.clock.now();
        let reserved = self.shared.memory().reserve(self.holder, bytes as u64, now);
        match reserved {
            Reservation::Granted => Ok(()),
            Reservation::Full { .. } | Reservation::TooLarge => {
                self.shared.record_caller_fault(CallerFault::NoRoom, self.connection.address);
                let detail = "there is no memory to hold the response";
                Err(Refusal::ran(RefusalReason::Memory, detail))
            }
        }
    }

    fn too_large(&self, max_bytes: usize) -> Refusal {
        self.shared.record_caller_fault(CallerFault::TooLarge, self.connection.address);
        let detail = format!("the request body exceeds {max_bytes} bytes");
        Refusal::not_run(RefusalReason::TooLarge, detail)
    }

    fn refuse(&self, fault: CallerFault) -> Refusal {
        if fault == CallerFault::NoRoom {
            self.shared.record_caller_fault(fault, self.connection.address);
        }
        let detail = format!("no memory for the request: {}", fault.as_str());
        Refusal::not_run(RefusalReason::Memory, detail).retry_after(RETRY_AFTER_MS)
    }

    /// Returns the response with a body that ends the scope once it is written.
    pub fn hold(self: Rc<Self>, response: HttpResponse) -> HttpResponse {
        let is_body_read = self.is_body_read.get();
        response
            .map_body(|head, body| {
                if !is_body_read {
                    head.set_connection_type(ConnectionType::Close);
                }
                BoxBody::new(HeldBody { body, rest: Bytes::new(), _scope: self })
            })
            .map_into_boxed_body()
    }
}

impl Drop for RequestScope {
    fn drop(&mut self) {
        self.shared.memory().close(self.holder);
        self.connection.holder.set(None);
        self.connection.end_request(self.is_body_read.get());
    }
}

/// Next part of a body.
enum NextChunk {
    Chunk(Bytes),
    Complete,
    GrantUsed,
    Broken(String),
}

fn body_length(req: &HttpRequest) -> BodyLength {
    if req.headers().contains_key(TRANSFER_ENCODING) {
        return BodyLength::Chunked;
    }
    let stated = req.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    // The HTTP server has refused lengths that are no numbers.
    BodyLength::Stated(stated.and_then(|v| v.trim().parse().ok()).unwrap_or(0))
}

/// The body of a response, which is handed to the HTTP server in small parts.
struct HeldBody {
    body: BoxBody,
    rest: Bytes,
    _scope: Rc<RequestScope>,
}

impl MessageBody for HeldBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        while self.rest.is_empty() {
            match Pin::new(&mut self.body).poll_next(cx) {
                Poll::Ready(Some(Ok(chunk))) => self.rest = chunk,
                Poll::Ready(Some(Err(e))) => {
                    return Poll::Ready(Some(Err(io::Error::other(e.to_string()).into())));
                }
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Pending => return Poll::Pending,
            }
        }
        let count = self.rest.len().min(RESPONSE_STEP_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(count))))
    }
}
