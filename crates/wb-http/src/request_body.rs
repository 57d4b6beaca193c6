//! Body of a received request.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::EXPECT;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::runtime::Handle;

/// Timeout for discarding the rest of a body; a complete upload takes about as long.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Body of a received request. When it is dropped before its end, the rest is read and discarded:
/// closing a connection with unread bytes resets it, and the peer would lose the response.
pub struct RequestBody {
    body: Option<Incoming>,
    /// Whether the peer sent `Expect: 100-continue` and still waits for the interim response. Until
    /// then it sends no body, so there is nothing to discard.
    expects_continue: bool,
}

impl RequestBody {
    pub(crate) fn wrap(request: Request<Incoming>) -> Request<Self> {
        let expects_continue = request.headers().contains_key(EXPECT);
        request.map(|body| Self {
            body: Some(body),
            expects_continue,
        })
    }
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        self.expects_continue = false;
        if !matches!(frame, Some(Ok(_))) {
            self.body = None;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.body.as_ref().map(Incoming::size_hint);
        hint.unwrap_or_else(|| SizeHint::with_exact(0))
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if self.expects_continue || self.is_end_stream() {
            return;
        }
        let (Some(body), Ok(runtime)) = (self.body.take(), Handle::try_current()) else {
            return;
        };
        runtime.spawn(tokio::time::timeout(DRAIN_TIMEOUT, drain(body)));
    }
}

/// Reads to the end or the first error; after either, no more of the body arrives.
async fn drain(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
