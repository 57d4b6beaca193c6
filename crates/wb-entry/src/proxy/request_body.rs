//! Bodies of requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use wb_http::Arriving;
use wb_http::Body;
use wb_http::body;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::stream::IdleTimeoutBody;

/// Bodies up to this size are kept, so that they can be sent again, in bytes.
pub const BUFFER_MAX: u64 = 64 * 1024;

/// Body of a request.
pub enum Source {
    /// Buffered whole; can be sent any number of times.
    Buffered(Bytes),
    /// Passed on as it comes; can be handed over once.
    Streamed(Option<Body>),
}

/// A request's body, and whether the caller broke it off.
pub struct RequestBody {
    source: Source,
    aborted: Arc<AtomicBool>,
}

impl RequestBody {
    /// Takes a body: reads a small one whole, passes on a large one.
    ///
    /// # Errors
    ///
    /// A refusal if a small body breaks off; the request was not inflight.
    pub async fn receive(
        body: Arriving,
        size: Option<u64>,
        idle: Duration,
    ) -> Result<Self, Refusal> {
        let aborted = Arc::new(AtomicBool::new(false));
        let source = if size.is_some_and(|size| size <= BUFFER_MAX) {
            let read = body::read(body, BUFFER_MAX as usize, idle).await;
            Source::Buffered(read.map_err(|_| Refusal::not_run(Reason::BadRequest))?)
        } else {
            let body = IdleTimeoutBody::new(body, idle, aborted.clone());
            Source::Streamed(Some(body::boxed(body)))
        };
        Ok(Self { source, aborted })
    }

    /// A body to hand over, if there still is one.
    pub fn take(&mut self) -> Option<Body> {
        match &mut self.source {
            Source::Buffered(bytes) => Some(body::full(bytes.clone())),
            Source::Streamed(body) => body.take(),
        }
    }

    /// Takes a body back that was not handed over.
    pub fn restore(&mut self, body: Body) {
        if let Source::Streamed(stream) = &mut self.source {
            *stream = Some(body);
        }
    }

    /// Whether the body can be handed over (again).
    pub fn is_available(&self) -> bool {
        match &self.source {
            Source::Buffered(_) => true,
            Source::Streamed(body) => body.is_some(),
        }
    }

    /// Whether the caller broke the body off.
    pub fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Relaxed)
    }

    /// A copy of the body, if it is kept.
    pub fn duplicate(&self) -> Option<Body> {
        match &self.source {
            Source::Buffered(bytes) => Some(body::full(bytes.clone())),
            Source::Streamed(_) => None,
        }
    }
}
