//! Request bodies: small ones are buffered so that they can be sent again, large ones streamed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_types::outcome::Reason;
use wb_types::outcome::Refusal;

use super::stream::IdleTimeoutBody;

/// Maximum size of a body that is buffered, in bytes.
pub const BUFFER_MAX: u64 = 64 * 1024;

/// Where the bytes of a body come from.
pub enum Source {
    /// Buffered completely; can be sent any number of times.
    Buffered(Bytes),
    /// Streamed from the caller; can be sent once.
    Streamed(Option<Body>),
}

/// Body of a request, and whether the caller aborted it.
pub struct OutboundBody {
    source: Source,
    aborted: Arc<AtomicBool>,
}

impl OutboundBody {
    /// Buffers a body whose size is known and small; prepares any other for streaming. `idle` is
    /// the idle timeout of the body.
    ///
    /// # Errors
    ///
    /// A refusal if a small body is incomplete; the request was not run.
    pub async fn receive(
        body: RequestBody,
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

    /// Returns the body to send, unless it was streamed before.
    pub fn take(&mut self) -> Option<Body> {
        match &mut self.source {
            Source::Buffered(bytes) => Some(body::full(bytes.clone())),
            Source::Streamed(body) => body.take(),
        }
    }

    /// Puts back a body of which no byte was sent.
    pub fn restore(&mut self, body: Body) {
        if let Source::Streamed(stream) = &mut self.source {
            *stream = Some(body);
        }
    }

    /// Returns whether the body can be sent (again).
    pub fn is_available(&self) -> bool {
        match &self.source {
            Source::Buffered(_) => true,
            Source::Streamed(body) => body.is_some(),
        }
    }

    /// Returns whether the caller aborted the body or paused for too long.
    pub fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Relaxed)
    }

    /// Returns a copy of the body if it is buffered.
    pub fn duplicate(&self) -> Option<Body> {
        match &self.source {
            Source::Buffered(bytes) => Some(body::full(bytes.clone())),
            Source::Streamed(_) => None,
        }
    }
}
