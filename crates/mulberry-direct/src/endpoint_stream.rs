//! The socket of an endpoint, from which the HTTP client reads no more before a response than a head may have.
//!
//! The HTTP client bounds each head, but not the number of interim responses before the final one: a faulty
//! endpoint could keep it reading until the request's deadline.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes that are read until the head of a response has come, interim responses included, in bytes. The
/// HTTP client reads up to some 400 kB at once, the beginning of the body among them.
const MAX_HEAD_BYTES: usize = 512 * 1024;

/// The bytes that may still be read before the head of a response, if one is awaited.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadBudget {
    left: Rc<Cell<Option<usize>>>,
}

impl HeadBudget {
    /// Begins to wait for the head of a response.
    pub(crate) fn begin(&self) {
        self.left.set(Some(MAX_HEAD_BYTES));
    }

    /// Records that the head has come.
    pub(crate) fn end(&self) {
        self.left.set(None);
    }

    /// Takes bytes that were read. Fails if a head is awaited that would be too long with them.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let Some(left) = self.left.get() else { return Ok(()) };
        let rest = left.checked_sub(bytes).ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the head of the response does not end")
        })?;
        self.left.set(Some(rest));
        Ok(())
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    socket: TcpStream,
    head: HeadBudget,
}

impl EndpointStream {
    /// Wraps a connected socket.
    pub(crate) fn new(socket: TcpStream, head: HeadBudget) -> Self {
        Self { socket, head }
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
        Poll::Ready(self.head.take(buf.filled().len() - before))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
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
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
