//! The socket of an HTTP client, which adds what the client's library leaves out.
//!
//! It reads no more before a response than a head may have: the library bounds each head, but not the number of interim
//! responses before the final one, so that a faulty server could keep it reading until the request's deadline.
//!
//! Where only the connection's end ends a response, it passes that end on once the server has taken the whole request.
//! The library takes the end of the server's side for that of the response, though the server may have stopped in the
//! middle of both, and resets the connection a moment later.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use mulberry_policy::stream_end::BodyFraming;

/// Most bytes that are read until the head of a response has come, interim responses included, in bytes. The
/// library reads up to some 400 kB at once, the beginning of the body among them.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// Most bytes that a socket takes before it can send them, in bytes.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// Largest request, in bytes, of which nothing can be on its way any more once it is written and the server has
/// responded.
const MAX_SMALL_REQUEST_BYTES: usize = MAX_UNSENT_BYTES as usize;

/// Time for which a server that has ended its side may take the rest of a request.
const UPLOAD_REST_TIME: Duration = Duration::from_millis(1_000);

/// Time after the end of the server's side, and after the whole request is written, within which a reset says that the
/// server has not read it.
const RESET_WAIT: Duration = Duration::from_millis(50);

/// What says where the response ends that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum ResponseEnd {
    /// Its own framing; or there is no response.
    #[default]
    Framing,
    /// Not known yet: its head has not come, or has not been looked at.
    Unknown,
    /// The end of the connection.
    Connection,
}

/// What the exchange on a connection and its socket know of one another.
#[derive(Debug, Clone, Default)]
pub struct ExchangeWatch {
    state: Arc<Mutex<WatchState>>,
}

#[derive(Debug, Default)]
struct WatchState {
    /// The bytes that may still be read before the head of a response, if one is awaited.
    head_left: Option<usize>,
    response_end: ResponseEnd,
    /// Bytes of the request that the socket has taken.
    written: usize,
    /// Wakes the reader, which waits for the head to be looked at.
    reader: Option<Waker>,
}

impl WatchState {
    /// Returns whether the end of the server's side may be that of a response.
    fn may_end_response(&self) -> bool {
        match self.response_end {
            ResponseEnd::Framing => false,
            ResponseEnd::Unknown => self.head_left != Some(MAX_HEAD_BYTES),
            ResponseEnd::Connection => true,
        }
    }
}

impl ExchangeWatch {
    /// Begins to send a request and to wait for the head of its response.
    pub fn begin(&self) {
        let mut state = self.state();
        state.head_left = Some(MAX_HEAD_BYTES);
        state.response_end = ResponseEnd::Unknown;
        state.written = 0;
    }

    /// Records that the head has come, with what says where the response ends, or that none will come any more.
    pub fn end_head(&self, framing: Option<BodyFraming>) {
        let mut state = self.state();
        state.head_left = None;
        state.response_end = match framing {
            Some(BodyFraming::Connection) => ResponseEnd::Connection,
            Some(BodyFraming::Length | BodyFraming::Chunks) | None => ResponseEnd::Framing,
        };
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    /// Takes bytes that were read. Fails if a head is awaited that would be too long with them.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.state();
        let Some(left) = state.head_left else { return Ok(()) };
        let rest = left.checked_sub(bytes).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the head of the response does not end")
        })?;
        state.head_left = Some(rest);
        Ok(())
    }

    fn state(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How far a request has got when its server has ended its side, and the time that is left for the rest.
#[derive(Debug)]
enum HeldEnd {
    /// A part of it is not written.
    Unwritten(Pin<Box<Sleep>>),
    /// All of it is written, and may be unread.
    Unread(Pin<Box<Sleep>>),
}

/// The socket of an HTTP client.
#[derive(Debug)]
pub struct ClientSocket {
    socket: TcpStream,
    /// What is known of the exchange. Without it, only a request that is still being written holds an end back.
    watch: Option<ExchangeWatch>,
    /// Whether a part of what the library wanted to write is not written yet.
    is_writing: bool,
    /// The end of the server's side, while it is held back.
    held_end: Option<HeldEnd>,
    /// Wakes the reader, which waits for the writer.
    reader: Option<Waker>,
}

impl ClientSocket {
    /// Wraps a connected socket, whose exchanges the watch follows.
    pub fn new(socket: TcpStream, watch: Option<ExchangeWatch>) -> Self {
        // Without it, the socket takes megabytes of a request of which the server has read nothing. Not all systems have
        // it; then less is known of what the server has.
        let _is_known = SockRef::from(&socket).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self { socket, watch, is_writing: false, held_end: None, reader: None }
    }

    /// Returns whether the server may have ended its side, and with it a response, before it has read the request.
    fn may_break_off(&self) -> bool {
        let Some(watch) = &self.watch else { return self.is_writing || self.held_end.is_some() };
        let state = watch.state();
        let is_unread = self.is_writing || state.written > MAX_SMALL_REQUEST_BYTES;
        is_unread && state.may_end_response()
    }

    /// Passes on the end of the server's side, which was read. Fails if a response ends with it of which the server has
    /// not read the request.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.may_break_off() {
            return Poll::Ready(Ok(()));
        }
        self.reader = Some(cx.waker().clone());
        if let Some(watch) = &self.watch {
            watch.state().reader = Some(cx.waker().clone());
        }
        let held_end = match self.held_end.take() {
            None if self.is_writing => HeldEnd::Unwritten(Box::pin(sleep(UPLOAD_REST_TIME))),
            None => HeldEnd::Unread(Box::pin(sleep(RESET_WAIT))),
            Some(HeldEnd::Unwritten(_)) if !self.is_writing => {
                HeldEnd::Unread(Box::pin(sleep(RESET_WAIT)))
            }
            Some(held) => held,
        };
        match self.held_end.insert(held_end) {
            HeldEnd::Unwritten(time) => {
                ready!(time.as_mut().poll(cx));
                Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::ConnectionAborted,
                    "the server ended its side before it had taken the request",
                )))
            }
            HeldEnd::Unread(time) => {
                ready!(time.as_mut().poll(cx));
                Poll::Ready(self.socket.take_error().and_then(|e| e.map_or(Ok(()), Err)))
            }
        }
    }

    /// Records how much of what the library wanted to write was written.
    fn record_write(&mut self, wanted: usize, written: &Poll<io::Result<usize>>) {
        let bytes = match written {
            Poll::Ready(Ok(bytes)) => *bytes,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.is_writing = bytes < wanted;
        if let Some(watch) = &self.watch {
            watch.state().written += bytes;
        }
        if let Some(reader) = self.reader.take_if(|_| !self.is_writing) {
            reader.wake();
        }
    }
}

impl Connection for ClientSocket {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes == 0 && buf.remaining() > 0 {
            return self.poll_end(cx);
        }
        Poll::Ready(self.watch.as_ref().map_or(Ok(()), |watch| watch.take(bytes)))
    }
}

impl AsyncWrite for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        self.record_write(buf.len(), &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, bufs);
        self.record_write(bufs.iter().map(|buf| buf.len()).sum(), &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
