//! Bodies that pass through, with bounds on their pauses.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::time::Sleep;
use wb_dispatch::policy::LoadReport;
use wb_http::body::BoxError;
use wb_types::request::AttemptOutcome;

use crate::service::Guard;

/// A body that fails when it pauses for too long. A pause begins when a byte is asked for and none
/// is there: a body that nobody reads does not pause.
pub struct Timed<B> {
    body: B,
    idle: Duration,
    pause: Pin<Box<Sleep>>,
    pausing: bool,
    broken: Arc<AtomicBool>,
}

impl<B> Timed<B> {
    /// Bounds the pauses of a body; `broken` is set when it breaks off or pauses for too long.
    pub fn new(body: B, idle: Duration, broken: Arc<AtomicBool>) -> Self {
        Self {
            body,
            idle,
            pause: Box::pin(tokio::time::sleep(idle)),
            pausing: false,
            broken,
        }
    }
}

impl<B> Body for Timed<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.pausing = false;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                this.broken.store(true, Ordering::Relaxed);
                Poll::Ready(Some(Err(err.into())))
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => {
                if !this.pausing {
                    this.pausing = true;
                    let end = tokio::time::Instant::now() + this.idle;
                    this.pause.as_mut().reset(end);
                }
                if this.pause.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                this.broken.store(true, Ordering::Relaxed);
                let err = io::Error::new(io::ErrorKind::TimedOut, "body paused for too long");
                Poll::Ready(Some(Err(err.into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Ends a request when the body of its answer has passed through.
pub struct Guarded<B> {
    body: B,
    guard: Option<Guard>,
    since: Instant,
    report: Option<LoadReport>,
}

impl<B> Guarded<B> {
    /// Ends a request that began at `since` with the body of its answer.
    pub fn new(body: B, guard: Guard, since: Instant, report: Option<LoadReport>) -> Self {
        Self {
            body,
            guard: Some(guard),
            since,
            report,
        }
    }

    fn end(&mut self, good: bool) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        let ending = if good {
            AttemptOutcome::Success(self.since.elapsed())
        } else {
            AttemptOutcome::Failure
        };
        guard.finish(ending, self.report);
    }
}

impl<B> Body for Guarded<B>
where
    B: Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if self.body.is_end_stream() => self.end(true),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.end(false),
            None => self.end(true),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
