//! Responses that are too large to buffer.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use tokio::time::Sleep;
use wb_balance::AttemptOutcome;
use wb_balance::Evidence;
use wb_http::body::BoxError;
use wb_http::pool::ResponseBody;
use wb_types::id::Moment;

use super::buffers::BufferedBody;
use super::crash;
use super::slot::Slot;

/// Body of a streamed response. Holds the slot until the body has ended. A body that has not ended
/// at the request's deadline is cut off, since a faulty server may send without end.
pub struct StreamedBody {
    /// Bytes that were read before the response was passed on.
    prefix: BufferedBody,
    body: ResponseBody,
    slot: Option<Slot>,
    /// When the attempt began.
    began: Moment,
    /// Time from the start of the attempt to the first bytes of the body.
    took: Duration,
    deadline: Pin<Box<Sleep>>,
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
        Self {
            began,
            prefix,
            body,
            slot: Some(slot),
            took,
            deadline: Box::pin(tokio::time::sleep(remaining)),
        }
    }

    fn release(&mut self, outcome: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.release(outcome);
        }
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
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.release(AttemptOutcome::Failure(Evidence::Failed));
            let error = "the response did not end before the deadline";
            return Poll::Ready(Some(Err(error.into())));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                if let Some(slot) = &self.slot {
                    // Goes on by itself.
                    drop(crash::investigate(slot, self.began));
                }
                self.release(AttemptOutcome::Failure(Evidence::Cut));
            }
            None => {
                if let Some(slot) = self.slot.take() {
                    crash::record_answer(&slot.context, &slot.routed);
                    let outcome = slot.success(self.took);
                    slot.release(outcome);
                }
            }
        }
        Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let prefix = self.prefix.len() as u64;
        let rest = self.body.size_hint();
        let mut hint = http_body::SizeHint::new();
        hint.set_lower(rest.lower() + prefix);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + prefix);
        }
        hint
    }
}
