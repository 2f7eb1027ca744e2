//! HTTP/1.1 connections to endpoints and to the store, and a pool of idle ones.
//!
//! A connection is dropped with its socket as soon as its exchange is given up, so that the other
//! end stops working at once. One whose peer is silent shows by TCP probes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::SockRef;
use socket2::TcpKeepalive;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Idle time after which a silent connection is probed, and time between probes.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is dead.
const PROBES: u32 = 2;

/// Time for which sent data may stay unacknowledged.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(2_000);

/// Time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_millis(4_000);

/// Most idle connections to one address.
const MAX_IDLE: usize = 24;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("can't connect: {source}")]
    Connect {
        /// What the system says.
        source: std::io::Error,
    },
    /// The connection had ended before the request was written.
    #[error("the connection had ended")]
    NotSent,
    /// The connection broke after the request may have been written.
    #[error("the connection broke: {source}")]
    Broken {
        /// What the library says.
        source: hyper::Error,
    },
}

/// Ends the task of a connection, and so its socket, when dropped.
#[derive(Debug)]
struct TaskGuard(JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: TaskGuard,
    reused: bool,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, SendError> {
        let failed = |source| SendError::Connect { source };
        let connecting = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        let connected = connecting.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()));
        let stream = connected.map_err(failed)?;
        set_options(&stream).map_err(failed)?;
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|source| SendError::Broken { source })?;
        let task = actix_rt::spawn(async move {
            // The exchange itself reports what went wrong.
            let _ended = connection.await;
        });
        Ok(Self { sender, _task: TaskGuard(task), reused: false })
    }

    /// Tells whether the connection has served an exchange before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut e) => match e.take_message() {
                Some(_unsent) => Err(SendError::NotSent),
                None => Err(SendError::Broken { source: e.into_error() }),
            },
        }
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(PROBE_TIME).with_interval(PROBE_TIME).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections of one thread, newest first in use.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<Idle>>>>,
}

impl ConnectionPool {
    /// Takes an idle connection, or opens one.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, SendError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    /// Keeps a connection whose exchange is complete. `keep` bounds the time if the peer states one.
    pub fn put(&self, address: SocketAddr, mut connection: Connection, keep: Option<Duration>) {
        connection.reused = true;
        let now = Instant::now();
        let span = keep.map_or(IDLE_TIME, |k| k.min(IDLE_TIME));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        list.retain(|i| i.until > now && !i.connection.sender.is_closed());
        if list.len() < MAX_IDLE {
            list.push(Idle { connection, until: now + span });
        }
    }

    /// Drops every idle connection to an address.
    pub fn clear(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        while let Some(last) = list.pop() {
            if last.until > now && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }
}
