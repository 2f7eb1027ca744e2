//! The socket of an endpoint, which adds to the HTTP client what that leaves out.
//!
//! It reads no more before a response than a head may have: the HTTP client bounds each head, but not the number of
//! interim responses before the final one, so that a faulty endpoint could keep it reading until the request's deadline.
//!
//! Where only the connection's end ends a response, it passes that end on once the endpoint has taken the whole request.
//! The HTTP client takes the end of the endpoint's side for that of the response, though the endpoint may have stopped
//! in the middle of both, and resets the connection a moment later.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

use mulberry_policy::stream_end::BodyFraming;

/// Most bytes that are read until the head of a response has come, interim responses included, in bytes. The
/// HTTP client reads up to some 400 kB at once, the beginning of the body among them.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// Most bytes that a socket takes before it can send them, in bytes.
pub(crate) const MAX_UNSENT_BYTES: u32 = 16 * 1024;

/// Largest request, in bytes, of which nothing can be on its way any more once it is written and the endpoint has
/// responded.
const MAX_SMALL_REQUEST_BYTES: usize = MAX_UNSENT_BYTES as usize;

/// Time for which an endpoint that has ended its side may take the rest of a request.
const UPLOAD_REST_TIME: Duration = Duration::from_millis(1_000);

/// Time after the end of the endpoint's side, and after the whole request is written, within which a reset says that the
/// endpoint has not read it.
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
pub(crate) struct ExchangeWatch {
    state: Rc<WatchState>,
}

#[derive(Debug, Default)]
struct WatchState {
    /// The bytes that may still be read before the head of a response, if one is awaited.
    head_left: Cell<Option<usize>>,
    response_end: Cell<ResponseEnd>,
    /// Bytes of the request that the socket has taken.
    written: Cell<usize>,
    /// Wakes the reader, which waits for the writer or for the head to be looked at.
    reader: RefCell<Option<Waker>>,
}

impl ExchangeWatch {
    /// Begins to send a request and to wait for the head of its response.
    pub(crate) fn begin(&self) {
        self.state.head_left.set(Some(MAX_HEAD_BYTES));
        self.state.response_end.set(ResponseEnd::Unknown);
        self.state.written.set(0);
    }

    /// Records that the head has come, with what says where the response ends, or that none will come any more.
    pub(crate) fn end_head(&self, framing: Option<BodyFraming>) {
        self.state.head_left.set(None);
        self.state.response_end.set(match framing {
            Some(BodyFraming::Connection) => ResponseEnd::Connection,
            Some(BodyFraming::Length | BodyFraming::Chunks) | None => ResponseEnd::Framing,
        });
        self.wake_reader();
    }

    /// Takes bytes that were read. Fails if a head is awaited that would be too long with them.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.state.head_left.get() else { return Ok(()) };
        let rest = left.checked_sub(bytes).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the head of the response does not end")
        })?;
        self.state.head_left.set(Some(rest));
        Ok(())
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.state.reader.take() {
            reader.wake();
        }
    }
}

/// How far a request has got when its endpoint has ended its side, and the time that is left for the rest.
#[derive(Debug)]
enum HeldEnd {
    /// A part of it is not written.
    Unwritten(Pin<Box<Sleep>>),
    /// All of it is written, and may be unread.
    Unread(Pin<Box<Sleep>>),
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    socket: TcpStream,
    watch: ExchangeWatch,
    /// Whether a part of what the HTTP client wanted to write is not written yet.
    is_writing: bool,
    /// The end of the endpoint's side, while it is held back.
    held_end: Option<HeldEnd>,
}

impl EndpointStream {
    /// Wraps a connected socket.
    pub(crate) fn new(socket: TcpStream, watch: ExchangeWatch) -> Self {
        Self { socket, watch, is_writing: false, held_end: None }
    }

    /// Passes on the end of the endpoint's side, which was read. Fails if a response ends with it of which the endpoint
    /// has not read the request.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = &self.watch.state;
        let is_large = self.is_writing || state.written.get() > MAX_SMALL_REQUEST_BYTES;
        let is_end_of_response = match state.response_end.get() {
            ResponseEnd::Framing => false,
            ResponseEnd::Unknown => state.head_left.get() != Some(MAX_HEAD_BYTES),
            ResponseEnd::Connection => true,
        };
        if !is_end_of_response || !is_large {
            return Poll::Ready(Ok(()));
        }
        state.reader.replace(Some(cx.waker().clone()));
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
                    "the endpoint ended its side before it had taken the request",
                )))
            }
            HeldEnd::Unread(time) => {
                ready!(time.as_mut().poll(cx));
                Poll::Ready(self.socket.take_error().and_then(|e| e.map_or(Ok(()), Err)))
            }
        }
    }

    /// Records how much of what the HTTP client wanted to write was written.
    fn record_write(&mut self, wanted: usize, written: &Poll<io::Result<usize>>) {
        let bytes = match written {
            Poll::Ready(Ok(bytes)) => *bytes,
            Poll::Ready(Err(_)) | Poll::Pending => 0,
        };
        self.is_writing = bytes < wanted;
        self.watch.state.written.update(|before| before + bytes);
        if !self.is_writing {
            self.watch.wake_reader();
        }
    }
}

impl AsyncRead for EndpointStream {
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
        Poll::Ready(self.watch.take(bytes))
    }
}

impl AsyncWrite for EndpointStream {
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
