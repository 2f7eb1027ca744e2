//! The socket of a caller, which hands the HTTP server no more than one request at a time, and of its body
//! no more than was reserved.
//!
//! The HTTP server parses all that it gets before it serves the first request: 128 kB of short requests
//! become 4,000 parsed ones. What is not handed over stays in the kernel's buffers, where TCP holds the
//! caller back.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use bytes::Buf;
use bytes::BytesMut;
use memchr::memchr_iter;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use mulberry_policy::caller_faults::CallerFault;
use mulberry_policy::caller_faults::CallerStep;
use mulberry_policy::memory_budget::HolderId;
use mulberry_process::clock::SharedClock;
use mulberry_protocol::time::Millis;

use crate::drain_gate::InProgressCount;
use crate::drain_gate::InProgressGuard;
use crate::shared::SharedState;

/// Bytes that are read from the socket at once while a head is awaited. It also bounds what is read behind
/// a request that is being served, to see whether the caller has closed the connection.
const READ_AHEAD_BYTES: usize = 2_048;

/// Bytes of a body in chunks that are read from the socket at once.
const MAX_CHUNKS_READ_BYTES: usize = 16 * 1024;

/// Response to a head that is far over the limit, which is not read to its end.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// What the HTTP server may read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gate {
    /// A head, up to the blank line that ends it.
    Head,
    /// So many bytes of a body of stated length.
    Body(usize),
    /// So many bytes of a body in chunks, up to a blank line. The last chunk ends with one, so that no
    /// request behind it is handed over. Blank lines within the data only end a grant early.
    Chunks(usize),
    /// Nothing more on this connection, since a body was not read to its end.
    Closing,
}

/// Finds the blank line that ends a head or a body in chunks. Blank lines before any text don't count.
#[derive(Debug, Clone, Copy, Default)]
struct HeadEnd {
    has_text: bool,
    is_line_empty: bool,
    bytes: usize,
}

impl HeadEnd {
    /// Returns the number of bytes up to the end of the head, if it is among these.
    fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut start = 0;
        for end in memchr_iter(b'\n', bytes) {
            self.push_line(&bytes[start..end]);
            if self.is_line_empty && self.has_text {
                *self = Self::default();
                return Some(end + 1);
            }
            self.is_line_empty = true;
            start = end + 1;
        }
        self.push_line(&bytes[start..]);
        self.bytes += bytes.len();
        None
    }

    fn push_line(&mut self, part: &[u8]) {
        if part.iter().any(|byte| *byte != b'\r') {
            (self.has_text, self.is_line_empty) = (true, false);
        }
    }
}

#[derive(Debug)]
struct State {
    gate: Gate,
    head_end: HeadEnd,
    step: CallerStep,
    /// Whether a request is being served: from the end of its head until its response is written.
    is_serving: bool,
    unread_since: Option<Millis>,
    closing_since: Option<Millis>,
    reader: Option<Waker>,
    is_ended: bool,
    /// Counts a request until its response has been handed to the operating system.
    in_progress: Option<InProgressGuard>,
}

/// A caller's connection, as its socket, its requests and the table of connections share it.
pub struct CallerConnection {
    /// Address of the caller.
    pub address: Option<IpAddr>,
    /// Bytes of a head up to which it is read.
    max_head_bytes: usize,
    clock: SharedClock,
    in_progress: InProgressCount,
    state: RefCell<State>,
    fault: Cell<Option<CallerFault>>,
    /// The present request's holder of bytes.
    pub holder: Cell<Option<HolderId>>,
}

impl CallerConnection {
    /// Returns the state of a connection that has just been accepted.
    pub fn new(address: Option<IpAddr>, shared: &SharedState) -> Rc<Self> {
        let clock = shared.clock.clone();
        let max_head_bytes = shared.max_head_bytes();
        let in_progress = shared.drain.in_progress().clone();
        let state = State {
            gate: Gate::Head,
            head_end: HeadEnd::default(),
            step: CallerStep::Idle { since: clock.now() },
            is_serving: false,
            unread_since: None,
            closing_since: None,
            reader: None,
            is_ended: false,
            in_progress: None,
        };
        let state = RefCell::new(state);
        let (fault, holder) = (Cell::new(None), Cell::new(None));
        Rc::new(Self { address, max_head_bytes, clock, in_progress, state, fault, holder })
    }

    /// Begins to serve a request whose head has been read.
    pub fn begin_request(&self) {
        let mut state = self.state.borrow_mut();
        state.is_serving = true;
        state.in_progress.get_or_insert_with(|| self.in_progress.begin());
        state.gate = Gate::Body(0);
        state.step = CallerStep::Serving;
    }

    /// Lets the HTTP server read so many more bytes of the body.
    pub fn grant(&self, bytes: usize, is_chunked: bool) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.step = match state.step {
            CallerStep::Body { .. } => state.step,
            CallerStep::Idle { .. } | CallerStep::Head { .. } | CallerStep::Serving => {
                CallerStep::Body { since: now, heard: now, bytes: 0 }
            }
        };
        state.gate = if is_chunked { Gate::Chunks(bytes) } else { Gate::Body(bytes) };
        wake(&mut state);
    }

    /// Records that this process does not read the body for now. The rate of the body counts anew from
    /// the next grant on.
    pub fn pause(&self) {
        self.state.borrow_mut().step = CallerStep::Serving;
    }

    /// Returns whether all granted bytes of the body have been read.
    pub fn is_grant_used(&self) -> bool {
        self.state.borrow().gate == Gate::Body(0)
    }

    /// Records that the response has been written. If the body was not read to its end, the connection
    /// closes, and otherwise the next head is read.
    pub fn end_request(&self, is_body_read: bool) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.is_serving = false;
        state.head_end = HeadEnd::default();
        state.step = CallerStep::Idle { since: now };
        state.gate = if is_body_read { Gate::Head } else { Gate::Closing };
        if !is_body_read {
            state.closing_since = Some(now);
        }
        wake(&mut state);
    }

    /// Returns the fault of the caller, once there is one.
    pub fn fault(&self) -> Option<CallerFault> {
        self.fault.get()
    }

    /// Records a fault that the request is to be refused for.
    pub fn record_fault(&self, fault: CallerFault) {
        self.fault.set(Some(fault));
        wake(&mut self.state.borrow_mut());
    }

    /// Ends the connection.
    pub fn end(&self) {
        let mut state = self.state.borrow_mut();
        state.is_ended = true;
        wake(&mut state);
    }

    /// Returns what the connection waits for, and since when a response has not been read.
    pub fn step(&self) -> (CallerStep, Option<Millis>) {
        let state = self.state.borrow();
        (state.step, state.unread_since)
    }

    /// Returns when the connection began to close, if it does.
    pub fn closing_since(&self) -> Option<Millis> {
        self.state.borrow().closing_since
    }

    /// Returns since when the connection waits for a head, if it does.
    pub fn waiting_since(&self) -> Option<Millis> {
        match self.state.borrow().step {
            CallerStep::Idle { since } | CallerStep::Head { since } => Some(since),
            CallerStep::Body { .. } | CallerStep::Serving => None,
        }
    }

    /// Returns how many of these bytes the HTTP server may have now, and takes them off what it may read.
    fn take_allowed(&self, bytes: &[u8]) -> usize {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match state.gate {
            Gate::Head if state.unread_since.is_some() => 0,
            Gate::Head => {
                if let CallerStep::Idle { .. } = state.step {
                    state.step = CallerStep::Head { since: now };
                }
                let end = state.head_end.find(bytes);
                if end.is_some() {
                    state.gate = Gate::Body(0);
                    state.step = CallerStep::Serving;
                }
                end.unwrap_or(bytes.len())
            }
            Gate::Body(left) => {
                let count = left.min(bytes.len());
                state.gate = Gate::Body(left - count);
                record_body(&mut state, count, now);
                count
            }
            Gate::Chunks(left) => {
                let offered = &bytes[..left.min(bytes.len())];
                let end = state.head_end.find(offered);
                let count = end.unwrap_or(offered.len());
                state.gate = match end {
                    Some(_) => Gate::Body(0),
                    None if left == count => Gate::Body(0),
                    None => Gate::Chunks(left - count),
                };
                record_body(&mut state, count, now);
                count
            }
            Gate::Closing => 0,
        }
    }

    fn may_read(&self) -> bool {
        let state = self.state.borrow();
        match state.gate {
            Gate::Head => state.unread_since.is_none(),
            Gate::Body(left) | Gate::Chunks(left) => left > 0,
            Gate::Closing => false,
        }
    }

    fn is_head_too_large(&self) -> bool {
        let state = self.state.borrow();
        state.gate == Gate::Head && state.head_end.bytes > self.max_head_bytes
    }

    fn chunks_room(&self) -> usize {
        match self.state.borrow().gate {
            Gate::Chunks(left) => left.min(MAX_CHUNKS_READ_BYTES),
            Gate::Head | Gate::Body(_) | Gate::Closing => 0,
        }
    }

    fn body_room(&self) -> usize {
        match self.state.borrow().gate {
            Gate::Body(left) => left,
            Gate::Head | Gate::Chunks(_) | Gate::Closing => 0,
        }
    }

    /// Records that all that the HTTP server has written was handed to the operating system.
    fn record_flush(&self) {
        let mut state = self.state.borrow_mut();
        if !state.is_serving {
            state.in_progress = None;
        }
    }

    fn record_write(&self, is_blocked: bool) {
        let mut state = self.state.borrow_mut();
        if is_blocked {
            let now = self.clock.now();
            state.unread_since.get_or_insert(now);
        } else if state.unread_since.take().is_some() {
            wake(&mut state);
        }
    }
}

fn record_body(state: &mut State, count: usize, now: Millis) {
    if let CallerStep::Body { heard, bytes, .. } = &mut state.step
        && count > 0
    {
        *heard = now;
        *bytes += count as u64;
    }
}

fn wake(state: &mut State) {
    if let Some(reader) = &state.reader {
        reader.wake_by_ref();
    }
}

/// The socket of a caller.
pub struct CallerStream {
    socket: TcpStream,
    /// State of the connection.
    pub connection: Rc<CallerConnection>,
    /// Bytes that were read and that the HTTP server may not have yet.
    ahead: BytesMut,
}

impl CallerStream {
    /// Wraps an accepted socket.
    pub fn new(socket: TcpStream, shared: &SharedState) -> Self {
        let address = socket.peer_addr().ok().map(|a| a.ip());
        let connection = CallerConnection::new(address, shared);
        Self { socket, connection, ahead: BytesMut::new() }
    }

    /// Reads bytes that the HTTP server may not have yet. Returns zero at the end of the connection.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let max_bytes = self.connection.chunks_room().max(READ_AHEAD_BYTES);
        self.ahead.resize(max_bytes, 0);
        let mut buf = ReadBuf::new(&mut self.ahead);
        let read = Pin::new(&mut self.socket).poll_read(cx, &mut buf);
        let count = buf.filled().len();
        match count {
            0 => self.ahead = BytesMut::new(),
            count => self.ahead.truncate(count),
        }
        ready!(read)?;
        Poll::Ready(Ok(count))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = self.connection.clone();
        connection.state.borrow_mut().reader = Some(cx.waker().clone());
        if connection.state.borrow().is_ended {
            return Poll::Ready(Ok(()));
        }
        let granted = connection.body_room();
        let room = granted.min(buf.remaining());
        if self.ahead.is_empty() && room > READ_AHEAD_BYTES {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
            let count = part.filled().len();
            buf.advance(count);
            let mut state = connection.state.borrow_mut();
            state.gate = Gate::Body(granted - count);
            record_body(&mut state, count, connection.clock.now());
            return Poll::Ready(Ok(()));
        }
        if self.ahead.is_empty() && ready!(self.poll_ahead(cx))? == 0 {
            return Poll::Ready(Ok(()));
        }
        if !connection.may_read() {
            return Poll::Pending;
        }
        if connection.is_head_too_large() {
            // A caller that does not read the response sees the connection end.
            let _written = self.socket.try_write(HEAD_TOO_LARGE);
            connection.fault.set(Some(CallerFault::TooLarge));
            connection.end();
            return Poll::Ready(Ok(()));
        }
        let offered = self.ahead.len().min(buf.remaining());
        let count = connection.take_allowed(&self.ahead[..offered]);
        buf.put_slice(&self.ahead[..count]);
        self.ahead.advance(count);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.connection.state.borrow().is_ended {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.connection.record_write(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.socket).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &flushed {
            self.connection.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
