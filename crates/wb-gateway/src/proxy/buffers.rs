//! Memory for bodies that are buffered, shared by all requests.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;

/// Memory for buffered bodies.
#[derive(Debug)]
pub struct Buffers {
    free: AtomicUsize,
}

/// A part of the memory, free again when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: Arc<Buffers>,
    size: usize,
}

/// A buffered body, or the start of one, and the memory that it takes until it has been passed on.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Option<Bytes>,
    _reservation: Reservation,
}

impl BufferedBody {
    /// A body that takes memory.
    pub fn new(bytes: Bytes, reservation: Reservation) -> Self {
        Self {
            bytes: Some(bytes).filter(|bytes| !bytes.is_empty()),
            _reservation: reservation,
        }
    }

    /// Takes the bytes; `None` if there are none left.
    pub fn take(&mut self) -> Option<Bytes> {
        self.bytes.take()
    }

    /// Number of bytes left.
    pub fn len(&self) -> usize {
        self.bytes.as_ref().map_or(0, Bytes::len)
    }

    /// Whether no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_none()
    }
}

impl http_body::Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}

impl Buffers {
    /// Memory of this size, in bytes.
    pub fn new(size: usize) -> Arc<Self> {
        let free = AtomicUsize::new(size);
        Arc::new(Self { free })
    }

    /// Free memory, in bytes.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }

    /// Starts a reservation of nothing.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation {
            buffers: self.clone(),
            size: 0,
        }
    }
}

impl Reservation {
    /// Grows the reservation to `size` bytes. Returns whether it is that large now.
    pub fn grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        let free = &self.buffers.free;
        let taken = free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
            free.checked_sub(more)
        });
        if taken.is_ok() {
            self.size += more;
        }
        taken.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffers.free.fetch_add(self.size, Ordering::Relaxed);
    }
}
