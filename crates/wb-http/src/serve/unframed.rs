//! Responses whose end is that of their connection.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::Response;
use http::Version;
use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;

use super::read_ahead::Monitor;
use crate::Body;
use crate::body;
use crate::body::BoxError;

/// Body of a response whose end a peer can tell only by that of the connection. Until it has ended, the
/// connection ends with a reset, whatever ends it, so that a part doesn't look complete.
struct UnframedBody {
    body: Body,
    monitor: Monitor,
}

/// Prepares a response to a request in some version of HTTP: HTTP/1.0 has no chunks, so that a body of
/// unknown length ends with the connection.
pub(super) fn prepare(
    response: Response<Body>,
    version: Version,
    monitor: &Monitor,
) -> Response<Body> {
    let framed = response.body().size_hint().exact().is_some();
    if version != Version::HTTP_10 || framed {
        return response;
    }
    monitor.set_reset(true);
    let monitor = monitor.clone();
    response.map(|body| body::boxed(UnframedBody { body, monitor }))
}

impl http_body::Body for UnframedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.monitor.set_reset(false);
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
