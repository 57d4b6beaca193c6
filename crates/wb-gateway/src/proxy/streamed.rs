//! Responses that are too large to buffer.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body::Frame;
use tokio::task::AbortHandle;
use wb_balance::AttemptOutcome;
use wb_balance::Evidence;
use wb_event::Event;
use wb_event::line;
use wb_http::body::BoxError;
use wb_http::pool::ResponseBody;
use wb_types::id::Moment;

use super::buffers::BufferedBody;
use super::crash;
use super::slot::Slot;

/// Time after which a caller that asks for no more bytes has stopped to read: many round trips between
/// regions.
const CALLER_PAUSE: Duration = Duration::from_millis(500);

/// Body of a streamed response. Holds the slot until the body has ended. A body that has not ended
/// at the request's deadline is cut off, also if nobody asks for its bytes: a faulty server may send
/// without end, and a caller may read nothing.
pub struct StreamedBody {
    /// Bytes that were read before the response was passed on.
    prefix: BufferedBody,
    stream: Arc<Stream>,
    cut: AbortHandle,
}

/// The rest of a response, until it has ended or is cut off.
struct Stream(Mutex<Rest>);

struct Rest {
    source: Option<Source>,
    /// Whether all of the body was passed on.
    ended: bool,
}

/// Where the rest of a response comes from.
struct Source {
    body: ResponseBody,
    slot: Slot,
    /// When the attempt began.
    began: Moment,
    /// Time from the start of the attempt to the first bytes of the body.
    took: Duration,
    /// When the caller last asked for bytes.
    asked: Moment,
    /// The caller's task, if it waits for bytes.
    waiting: Option<Waker>,
}

impl StreamedBody {
    /// Creates the body of a response that is due within `remaining`.
    pub fn new(
        prefix: BufferedBody,
        body: ResponseBody,
        slot: Slot,
        began: Moment,
        took: Duration,
        remaining: Duration,
    ) -> Self {
        let source = Source {
            asked: slot.context.now(),
            body,
            slot,
            began,
            took,
            waiting: None,
        };
        let rest = Rest {
            source: Some(source),
            ended: false,
        };
        let stream = Arc::new(Stream(Mutex::new(rest)));
        let cut = cut_off(stream.clone(), remaining);
        Self {
            prefix,
            stream,
            cut: tokio::spawn(cut).abort_handle(),
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.cut.abort();
    }
}

/// Ends a response that is due within `remaining`, with its slot and its connection.
async fn cut_off(stream: Arc<Stream>, remaining: Duration) {
    tokio::time::sleep(remaining).await;
    let source = stream.rest().source.take();
    if let Some(source) = source {
        source.cut_off();
    }
}

impl Stream {
    fn rest(&self) -> MutexGuard<'_, Rest> {
        self.0.lock().expect("lock is not poisoned")
    }
}

impl Source {
    /// Ends the response. The server is at fault if the caller waits for its bytes.
    fn cut_off(self) {
        let pause = self.slot.context.now().saturating_sub(self.asked);
        let outcome = if self.waiting.is_some() || pause < CALLER_PAUSE {
            AttemptOutcome::Failure(Evidence::Failed)
        } else {
            line!(
                Event::ResponseUnread,
                request = self.slot.routed.id,
                service = self.slot.routed.service,
                server = self.slot.assignment.server.name,
                paused_ms = pause.as_millis() as u64
            );
            AttemptOutcome::Inconclusive
        };
        self.slot.release(outcome);
        if let Some(waker) = self.waiting {
            waker.wake();
        }
    }

    /// Ends the response after an error of its connection.
    fn fail(self) {
        // Goes on by itself.
        drop(crash::investigate(&self.slot, self.began));
        self.slot.release(AttemptOutcome::Failure(Evidence::Cut));
    }

    /// Ends the response after all of it was passed on.
    fn succeed(self) {
        crash::record_answer(&self.slot.context, &self.slot.routed);
        let outcome = self.slot.success(self.took);
        self.slot.release(outcome);
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.asked = self.slot.context.now();
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        self.waiting = polled.is_pending().then(|| cx.waker().clone());
        polled
    }
}

impl http_body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let mut rest = self.stream.rest();
        if rest.ended {
            return Poll::Ready(None);
        }
        let Some(source) = &mut rest.source else {
            let error = "the response did not end before the deadline";
            return Poll::Ready(Some(Err(error.into())));
        };
        let frame = ready!(source.poll_frame(cx));
        let ended = match &frame {
            Some(Ok(_)) => None,
            Some(Err(_)) | None => rest.source.take(),
        };
        rest.ended = frame.is_none();
        drop(rest);
        match (&frame, ended) {
            (None, Some(source)) => source.succeed(),
            (Some(Err(_)), Some(source)) => source.fail(),
            _ => {}
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        let rest = self.stream.rest();
        let source = rest.source.as_ref();
        let ended = source.map_or(rest.ended, |source| source.body.is_end_stream());
        self.prefix.is_empty() && ended
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let prefix = self.prefix.len() as u64;
        let rest = self.stream.rest();
        let source = rest.source.as_ref();
        let rest = source.map_or_else(Default::default, |source| source.body.size_hint());
        let mut hint = http_body::SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
