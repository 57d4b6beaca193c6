//! A stream that is read ahead while a request is in progress.
//!
//! The HTTP library reads nothing more from a connection while it holds bytes of a request that
//! waits behind the one in progress, so it would not notice that the peer has left.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes that are read ahead, and thus a bound on the requests that wait on one connection.
const AHEAD_MAX: usize = 64 * 1024;
/// Size of one read, in bytes.
const READ_SIZE: usize = 8 * 1024;

struct Shared {
    stream: TcpStream,
    /// Bytes that were read ahead and that the reader has not taken.
    ahead: BytesMut,
    /// When bytes were last received.
    received: Instant,
    /// Whether the peer has closed its side, or the connection has failed.
    closed: bool,
    /// Whether the reader found nothing to read and waits for more.
    starved: bool,
    /// Whether the connection ends with a reset.
    reset: bool,
    /// Since when nothing more can be written.
    blocked: Option<Instant>,
}

/// The reader's and writer's side of a stream.
pub(super) struct Reader(Arc<Mutex<Shared>>);

/// The side that reads ahead.
#[derive(Clone)]
pub(super) struct Monitor(Arc<Mutex<Shared>>);

/// Splits a stream into the two sides that share it.
pub(super) fn split(stream: TcpStream) -> (Reader, Monitor) {
    let shared = Arc::new(Mutex::new(Shared {
        stream,
        ahead: BytesMut::new(),
        received: Instant::now(),
        closed: false,
        starved: false,
        reset: false,
        blocked: None,
    }));
    (Reader(shared.clone()), Monitor(shared))
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().expect("lock is not poisoned")
}

impl Shared {
    /// Reads from the stream into a buffer. Returns the number of bytes, 0 at the end.
    fn poll_fill(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let count = buf.filled().len() - before;
        self.closed = result.is_err() || (count == 0 && buf.remaining() > 0);
        if count > 0 {
            self.received = Instant::now();
        }
        Poll::Ready(result.map(|()| count))
    }

    /// Writes to the stream, and records since when nothing can be written.
    fn poll_write(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let polled = write(Pin::new(&mut self.stream));
        self.blocked = match polled {
            Poll::Ready(_) => None,
            Poll::Pending => self.blocked.or_else(|| Some(Instant::now())),
        };
        polled
    }
}

impl Monitor {
    /// When bytes were last received from the peer.
    pub(super) fn received(&self) -> Instant {
        lock(&self.0).received
    }

    /// Reads ahead as far as allowed, unless the reader waits for bytes itself. Returns whether the
    /// peer has closed the connection.
    pub(super) fn poll_closed(&self, cx: &mut Context<'_>) -> bool {
        let mut shared = lock(&self.0);
        while !shared.closed && !shared.starved && shared.ahead.len() < AHEAD_MAX {
            let mut bytes = [0; READ_SIZE];
            let mut buf = ReadBuf::new(&mut bytes);
            if shared.poll_fill(cx, &mut buf).is_pending() {
                break;
            }
            shared.ahead.extend_from_slice(buf.filled());
        }
        shared.closed
    }

    /// Whether the peer has closed the connection, as far as it is known.
    pub(super) fn is_closed(&self) -> bool {
        lock(&self.0).closed
    }

    /// Since when nothing more can be written, since the peer does not read; `None` if it does.
    pub(super) fn blocked(&self) -> Option<Instant> {
        lock(&self.0).blocked
    }

    /// Lets the connection end with a reset, whatever ends it, or in order.
    pub(super) fn set_reset(&self, reset: bool) {
        let mut shared = lock(&self.0);
        shared.reset = reset;
        // An error means that the connection has already failed.
        let _ = SockRef::from(&shared.stream).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Whether the connection ends with a reset.
    pub(super) fn is_reset(&self) -> bool {
        lock(&self.0).reset
    }

    /// Closes the own side, and discards up to `limit` bytes until the peer closes its side.
    pub(super) async fn linger(&self, limit: usize) -> io::Result<()> {
        let shutdown = |cx: &mut Context<'_>| {
            let mut shared = lock(&self.0);
            Pin::new(&mut shared.stream).poll_shutdown(cx)
        };
        std::future::poll_fn(shutdown).await?;
        let mut discarded = 0;
        while discarded < limit {
            let discard = |cx: &mut Context<'_>| {
                let mut bytes = [0; READ_SIZE];
                lock(&self.0).poll_fill(cx, &mut ReadBuf::new(&mut bytes))
            };
            let count = std::future::poll_fn(discard).await?;
            if count == 0 {
                break;
            }
            discarded += count;
        }
        Ok(())
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = lock(&self.0);
        if !shared.ahead.is_empty() {
            let count = shared.ahead.len().min(buf.remaining());
            buf.put_slice(&shared.ahead[..count]);
            shared.ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        if shared.closed {
            return Poll::Ready(Ok(()));
        }
        let polled = shared.poll_fill(cx, buf);
        shared.starved = polled.is_pending();
        polled.map_ok(|_| ())
    }
}

impl AsyncWrite for Reader {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        lock(&self.0).poll_write(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        lock(&self.0).poll_write(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_shutdown(cx)
    }
}
