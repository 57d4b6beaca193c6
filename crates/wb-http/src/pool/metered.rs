//! A stream that fails when it yields too many bytes that are no response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes that may be read without a response head or data of its body. A faulty server may
/// send interim responses, chunk sizes or trailers without end.
const UNCLAIMED_MAX: usize = 1024 * 1024;

/// Bytes that were read since the last response head or body data.
#[derive(Clone, Debug, Default)]
pub(super) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that the bytes read so far were part of a response.
    pub(super) fn claim(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// A stream whose bytes are counted.
pub(super) struct Metered {
    stream: TcpStream,
    meter: Meter,
}

impl Metered {
    pub(super) fn new(stream: TcpStream, meter: Meter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.0.load(Ordering::Relaxed) > UNCLAIMED_MAX {
            return Poll::Ready(Err(io::Error::other("endless bytes without a response")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        self.meter.0.fetch_add(count, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
