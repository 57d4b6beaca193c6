//! Bodies of requests.

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

use super::stream::Timed;

/// Bodies up to this size are kept, so that they can be sent again, in bytes.
pub const KEEP_MAX: u64 = 64 * 1024;

/// Body of a request.
pub enum Payload {
    /// Kept whole; can be sent any number of times.
    Kept(Bytes),
    /// Passed on as it comes; can be handed over once.
    Stream(Option<Body>),
}

/// A request's body, and whether the caller broke it off.
pub struct Upload {
    payload: Payload,
    broken: Arc<AtomicBool>,
}

impl Upload {
    /// Takes a body: reads a small one whole, passes on a large one.
    ///
    /// # Errors
    ///
    /// A refusal if a small body breaks off; the request was not run.
    pub async fn take(
        body: RequestBody,
        size: Option<u64>,
        idle: Duration,
    ) -> Result<Self, Refusal> {
        let broken = Arc::new(AtomicBool::new(false));
        let payload = if size.is_some_and(|size| size <= KEEP_MAX) {
            let read = body::read(body, KEEP_MAX as usize, idle).await;
            Payload::Kept(read.map_err(|_| Refusal::not_run(Reason::BadRequest))?)
        } else {
            let timed = Timed::new(body, idle, broken.clone());
            Payload::Stream(Some(body::boxed(timed)))
        };
        Ok(Self { payload, broken })
    }

    /// A body to hand over, if there still is one.
    pub fn hand_over(&mut self) -> Option<Body> {
        match &mut self.payload {
            Payload::Kept(bytes) => Some(body::full(bytes.clone())),
            Payload::Stream(body) => body.take(),
        }
    }

    /// Takes a body back that was not handed over.
    pub fn give_back(&mut self, body: Body) {
        if let Payload::Stream(stream) = &mut self.payload {
            *stream = Some(body);
        }
    }

    /// Whether the body can be handed over (again).
    pub fn is_ready(&self) -> bool {
        match &self.payload {
            Payload::Kept(_) => true,
            Payload::Stream(body) => body.is_some(),
        }
    }

    /// Whether the caller broke the body off.
    pub fn is_broken(&self) -> bool {
        self.broken.load(Ordering::Relaxed)
    }

    /// A copy of the body, if it is kept.
    pub fn copy(&self) -> Option<Body> {
        match &self.payload {
            Payload::Kept(bytes) => Some(body::full(bytes.clone())),
            Payload::Stream(_) => None,
        }
    }
}
