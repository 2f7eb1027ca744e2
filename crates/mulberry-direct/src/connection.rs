//! HTTP/1.1 connections to endpoints and to the store, and a pool of idle ones.
//!
//! Abandoning an exchange drops its connection and closes the socket, so that the peer stops
//! working on the request at once. TCP keepalive probes detect peers that vanished without closing.

use std::cell::Cell;
use std::cell::RefCell;
use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use mulberry_platform::client_socket::ClientSocket;
use mulberry_platform::client_socket::ExchangeWatch;
use mulberry_policy::crash_suspects::CrashEvidence;
use mulberry_policy::response_match::MAX_FAILED_REQUESTS;
use mulberry_policy::stream_end::BodyFraming;
use mulberry_protocol::closed_set;

use crate::holds::HoldGuard;
use crate::holds::HoldLog;
use crate::silence::SilenceLog;

/// Timeout of opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a probe's connection must stay open to show that the process runs.
const PROBE_HOLD_TIME: Duration = Duration::from_millis(15);

/// Most connections of one probe.
const MAX_PROBES: u32 = 3;

/// Timeout of the connection with which a broken-off endpoint is probed. A retry waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Silence after which TCP keepalive probes start, and the interval between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which sent data may stay unacknowledged before the connection counts as broken.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Most bytes of all bodies that one thread reads whole at the same time, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 24;

closed_set! {
    /// How an exchange broke after its request may have been written.
    pub enum BreakCause {
        /// The endpoint ended the connection before its response was complete, as when its process
        /// crashes.
        Ended,
        /// Nothing came from the endpoint for too long.
        Silent,
        /// The endpoint sent something that is not a valid response to the request.
        Invalid,
    }
}

impl BreakCause {
    /// Returns the cause's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            BreakCause::Ended => "broken",
            BreakCause::Silent => "silent",
            BreakCause::Invalid => "invalid",
        }
    }

    /// Classifies an error of the HTTP library on an open connection.
    pub fn of(error: &hyper::Error) -> Self {
        let io_error = error.source().and_then(|s| s.downcast_ref::<std::io::Error>());
        match io_error.map(std::io::Error::kind) {
            Some(ErrorKind::TimedOut | ErrorKind::HostUnreachable) => BreakCause::Silent,
            Some(ErrorKind::InvalidData) => BreakCause::Invalid,
            _ if error.is_parse() => BreakCause::Invalid,
            _ => BreakCause::Ended,
        }
    }
}

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection could not be opened; nothing was sent.
    #[error("can't connect: {source}")]
    Connect {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection was closed before the request was written.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection broke after the request may have been written.
    #[error("the connection broke: {source}")]
    Broken {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

/// Aborts the task that drives a connection when dropped, which closes the socket. From then on the
/// connection is not held any more, though its task ends a little later.
#[derive(Debug)]
struct CloseOnDrop {
    task: JoinHandle<()>,
    guard: Rc<HoldGuard>,
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.guard.close();
        self.task.abort();
    }
}

/// An open HTTP/1.1 connection, used for one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: CloseOnDrop,
    watch: ExchangeWatch,
    reused: bool,
    /// Whether a response has arrived.
    is_answered: bool,
    /// IDs of the requests that have failed here. A copy of such a response would be taken for that to
    /// the same request, sent again.
    failed: Vec<HeaderValue>,
}

impl Connection {
    /// Connects to an address and performs the HTTP handshake.
    async fn open(address: SocketAddr, log: Rc<RefCell<HoldLog>>) -> Result<Self, SendError> {
        let failed = |source| SendError::Connect { source };
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connecting.unwrap_or(Err(ErrorKind::TimedOut.into()));
        let stream = connected.map_err(failed)?;
        set_socket_options(&stream).map_err(failed)?;
        let watch = ExchangeWatch::default();
        let stream = TokioIo::new(ClientSocket::new(stream, Some(watch.clone())));
        let handshake = hyper::client::conn::http1::handshake(stream).await;
        let (sender, connection) = handshake.map_err(|source| SendError::Broken { source })?;
        let guard = HoldGuard::new(log, address);
        let for_task = guard.clone();
        let task = actix_rt::spawn(async move {
            // A failure also reaches the pending exchange, which reports it.
            let _ended = connection.await;
            for_task.end();
        });
        let driver = CloseOnDrop { task, guard };
        Ok(Self { sender, driver, watch, reused: false, is_answered: false, failed: Vec::new() })
    }

    /// Records that the other end closes the connection after its response.
    pub fn expect_close(&self) {
        self.driver.guard.expect_close();
    }

    /// Records the response of an exchange. Returns whether the connection has carried another one.
    pub fn record_response(&mut self) -> bool {
        std::mem::replace(&mut self.is_answered, true)
    }

    /// Records that a request has failed here, by its ID.
    pub fn record_failed(&mut self, request_id: &HeaderValue) {
        self.failed.push(request_id.clone());
    }

    /// Returns whether the connection comes from the pool.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.watch.begin();
        let sent = self.sender.try_send_request(req).await;
        let framing = sent.as_ref().ok().map(|response| body_framing(response.headers()));
        self.watch.end_head(framing);
        match sent {
            Ok(response) => Ok(response),
            Err(mut e) => match e.take_message() {
                Some(_unsent) => Err(SendError::NotSent),
                None => Err(SendError::Broken { source: e.into_error() }),
            },
        }
    }
}

/// Opens a connection to an endpoint that has just ended one, to see whether its process has ended
/// too.
pub async fn probe_after_break(address: SocketAddr) -> CrashEvidence {
    for _ in 0..MAX_PROBES {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                return CrashEvidence::Refused;
            }
            Ok(Err(_)) | Err(_) => return CrashEvidence::Ended,
            // An ending process may close its listening socket last. It then ends the connections
            // that it has not accepted.
            Ok(Ok(stream)) => {
                if timeout(PROBE_HOLD_TIME, stream.readable()).await.is_err() {
                    return CrashEvidence::Ended;
                }
            }
        }
    }
    CrashEvidence::Ended
}

/// Returns what says where the body of a response with these headers ends.
pub(crate) fn body_framing(headers: &HeaderMap) -> BodyFraming {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter().filter_map(|v| v.to_str().ok());
    let last_coding = codings.next_back().and_then(|v| v.rsplit(',').next());
    if last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
        BodyFraming::Chunks
    } else if last_coding.is_some() {
        BodyFraming::Connection
    } else if headers.contains_key(CONTENT_LENGTH) {
        BodyFraming::Length
    } else {
        BodyFraming::Connection
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections of one thread; the most recently returned one is used first.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>>,
    silence: Rc<RefCell<SilenceLog>>,
    holds: Rc<RefCell<HoldLog>>,
    /// Bytes of the bodies that are being read whole, and the most of them if there is a lower limit than
    /// [`MAX_BUFFERED_BYTES`].
    buffered: Rc<Cell<usize>>,
    max_buffered: Option<usize>,
}

/// Counts the bytes of a body that is being read whole, until it is dropped.
#[derive(Debug)]
pub struct BufferedBytes {
    all: Rc<Cell<usize>>,
    own: usize,
    max: usize,
}

impl BufferedBytes {
    /// Adds the bytes of a chunk. Returns false if more is buffered than the thread may hold.
    pub fn add(&mut self, bytes: usize) -> bool {
        self.own += bytes;
        self.all.set(self.all.get() + bytes);
        self.all.get() <= self.max
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

impl ConnectionPool {
    /// Creates a pool whose thread reads at most so many bytes of bodies whole at the same time.
    pub fn with_max_buffered(bytes: usize) -> Self {
        Self { max_buffered: Some(bytes.min(MAX_BUFFERED_BYTES)), ..Self::default() }
    }

    /// Takes an idle connection to an address, or opens a new one.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, SendError> {
        self.take_or_open(address, None).await
    }

    /// Takes an idle connection to an address on which the request has not failed before, or opens a new
    /// one.
    pub async fn take_for(
        &self,
        address: SocketAddr,
        request_id: &HeaderValue,
    ) -> Result<Connection, SendError> {
        self.take_or_open(address, Some(request_id)).await
    }

    async fn take_or_open(
        &self,
        address: SocketAddr,
        request_id: Option<&HeaderValue>,
    ) -> Result<Connection, SendError> {
        match self.take_idle(address, request_id) {
            Some(connection) => Ok(connection),
            None => Connection::open(address, self.holds.clone()).await,
        }
    }

    /// Returns for how long connections to an address have been held without a break, in
    /// milliseconds, or `None` if there is none.
    pub fn held_ms(&self, address: SocketAddr) -> Option<u64> {
        self.holds.borrow().held_ms(address)
    }

    /// Opens a connection to an address unless one is held.
    pub async fn hold(&self, address: SocketAddr) -> Result<(), SendError> {
        if self.held_ms(address).is_none() {
            let connection = Connection::open(address, self.holds.clone()).await?;
            self.put(address, connection, None);
        }
        Ok(())
    }

    /// Returns a connection whose exchange is complete to the pool. `keep_alive` is the time for
    /// which the peer keeps it open, if it states one.
    pub fn put(&self, address: SocketAddr, connection: Connection, keep_alive: Option<Duration>) {
        if connection.failed.len() >= MAX_FAILED_REQUESTS {
            return;
        }
        let now = Instant::now();
        let idle_timeout = keep_alive.map_or(IDLE_TIMEOUT, |k| k.min(IDLE_TIMEOUT));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        list.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(IdleConnection { connection, expires_at: now + idle_timeout });
        }
    }

    /// Returns the count for a body that is to be read whole.
    pub fn count_buffered(&self) -> BufferedBytes {
        let max = self.max_buffered.unwrap_or(MAX_BUFFERED_BYTES);
        BufferedBytes { all: self.buffered.clone(), own: 0, max }
    }

    /// Records that an address has just sent something.
    pub fn record_heard(&self, address: SocketAddr) {
        self.silence.borrow_mut().record_heard(address, Instant::now());
    }

    /// Returns how long the address has been silent since a run was sent there, as far as this thread
    /// can tell.
    pub fn silence_since(&self, address: SocketAddr, sent: Instant) -> Duration {
        self.silence.borrow().silence(address, sent, Instant::now())
    }

    /// Closes every idle connection to an address.
    pub fn clear(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        request_id: Option<&HeaderValue>,
    ) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        list.retain(|i| i.expires_at > now && !i.connection.sender.is_closed());
        let is_usable = |c: &Connection| {
            let has_failed = request_id.is_some_and(|id| c.failed.contains(id));
            c.sender.is_ready() && !has_failed
        };
        let last = list.iter().rposition(|i| is_usable(&i.connection))?;
        let mut connection = list.remove(last).connection;
        connection.reused = true;
        Some(connection)
    }
}
