//! Wrappers for streamed bodies: an idle timeout, and a report of the end of the stream.

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
use wb_dispatch::policy::ServerLoad;
use wb_http::body::BoxError;
use wb_types::request::AttemptOutcome;

use crate::service::RequestGuard;

/// A body with an idle timeout. The timer runs only while a read is pending: a body that is not
/// read does not time out.
pub struct IdleTimeoutBody<B> {
    body: B,
    idle: Duration,
    timer: Pin<Box<Sleep>>,
    waiting: bool,
    aborted: Arc<AtomicBool>,
}

impl<B> IdleTimeoutBody<B> {
    /// Wraps a body. `aborted` is set when the body fails or times out.
    pub fn new(body: B, idle: Duration, aborted: Arc<AtomicBool>) -> Self {
        Self {
            body,
            idle,
            timer: Box::pin(tokio::time::sleep(idle)),
            waiting: false,
            aborted,
        }
    }
}

impl<B> Body for IdleTimeoutBody<B>
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
                this.waiting = false;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                this.aborted.store(true, Ordering::Relaxed);
                Poll::Ready(Some(Err(err.into())))
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => {
                if !this.waiting {
                    this.waiting = true;
                    let end = tokio::time::Instant::now() + this.idle;
                    this.timer.as_mut().reset(end);
                }
                if this.timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                this.aborted.store(true, Ordering::Relaxed);
                let err = io::Error::new(io::ErrorKind::TimedOut, "body idle timeout exceeded");
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

/// A response body that reports the outcome of its request: success once it has been streamed
/// completely, failure if it fails.
pub struct GuardedBody<B> {
    body: B,
    guard: Option<RequestGuard>,
    started: Instant,
    server_load: Option<ServerLoad>,
}

impl<B> GuardedBody<B> {
    /// Wraps the response body of a request that was sent at `started`.
    pub fn new(
        body: B,
        guard: RequestGuard,
        started: Instant,
        server_load: Option<ServerLoad>,
    ) -> Self {
        Self {
            body,
            guard: Some(guard),
            started,
            server_load,
        }
    }

    fn end(&mut self, complete: bool) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        let outcome = if complete {
            AttemptOutcome::Success(self.started.elapsed())
        } else {
            AttemptOutcome::Failure
        };
        guard.finish(outcome, self.server_load);
    }
}

impl<B> Body for GuardedBody<B>
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
