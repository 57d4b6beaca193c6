//! Memory for bodies that are buffered, shared by all requests.
//!
//! A team that holds more than its part leaves the memory that others have asked for lately and do not
//! hold to them. Their bodies are buffered then, and its own are streamed, as when no memory is free.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use wb_balance::TeamShare;
use wb_share::Parts;
use wb_types::id::TeamName;

/// Time for which a team that has asked for memory is expected to ask again.
const PATIENCE: Duration = Duration::from_secs(1);

/// Memory for buffered bodies.
#[derive(Debug)]
pub struct Buffers {
    size: usize,
    free: AtomicUsize,
    started: Instant,
    parts: Mutex<Parts<TeamName>>,
}

/// A part of the memory, free again when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: Arc<Buffers>,
    size: usize,
    share: Option<TeamShare>,
}

/// Bytes, and the memory that they take until the last copy of them is dropped.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A buffered body, or the start of one. Its memory is taken until it has been written to a connection,
/// which may be long after it was passed on.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Option<Bytes>,
}

impl BufferedBody {
    /// A body that takes memory.
    pub fn new(bytes: Bytes, reservation: Reservation) -> Self {
        Self {
            bytes: Some(reservation.hold(bytes)).filter(|bytes| !bytes.is_empty()),
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
        Arc::new(Self {
            size,
            free: AtomicUsize::new(size),
            started: Instant::now(),
            parts: Mutex::new(Parts::returned(PATIENCE)),
        })
    }

    /// Free memory, in bytes.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }

    /// Starts a reservation of nothing, for a request of a team if the configuration names teams.
    pub fn reserve(self: &Arc<Self>, share: Option<TeamShare>) -> Reservation {
        Reservation {
            buffers: self.clone(),
            size: 0,
            share,
        }
    }

    fn parts(&self) -> MutexGuard<'_, Parts<TeamName>> {
        self.parts.lock().expect("lock is not poisoned")
    }

    /// Memory that a team has to leave to others if it takes `more`, in bytes.
    fn left_to_others(&self, share: &TeamShare, more: usize) -> usize {
        let now = self.started.elapsed();
        let mut parts = self.parts();
        parts.ask(&share.team, share.weight, now);
        if parts.is_refresh_due(now) {
            parts.refresh(self.size as f64, now);
        }
        let reserved = parts.reserved(&share.team, more as f64, now);
        (reserved * self.size as f64) as usize
    }
}

impl Reservation {
    /// Grows the reservation to `size` bytes. Returns whether it is that large now.
    pub fn grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        let buffers = &self.buffers;
        let share = self.share.as_ref();
        let left = share.map_or(0, |share| buffers.left_to_others(share, more));
        let take = |free: usize| free.checked_sub(more).filter(|free| *free >= left);
        let taken = buffers
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if taken.is_err() {
            return false;
        }
        self.size += more;
        if let Some(share) = share {
            let now = buffers.started.elapsed();
            buffers.parts().take(&share.team, more as f64, now);
        }
        true
    }

    /// Returns bytes that keep the reservation until the last copy of them is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let buffers = &self.buffers;
        buffers.free.fetch_add(self.size, Ordering::Relaxed);
        if let Some(share) = &self.share {
            buffers.parts().give_back(&share.team, self.size as f64);
        }
    }
}
