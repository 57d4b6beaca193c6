//! Request bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;

use super::buffers::Buffers;
use super::routed::Rejection;
use super::routed::RoutedRequest;
use super::routed::header_text;

/// Bodies up to this size, in bytes, are buffered before a server is chosen, so that the request
/// can be retried if a server sheds it. A small instance has memory for a few hundred of them.
const BUFFER_MAX: usize = 1024 * 1024;

/// Body of a request.
pub enum Payload {
    /// Buffered in memory that they keep reserved; can be sent any number of times.
    Buffered(Bytes),
    /// Streamed as it arrives; can be sent once.
    Streaming(Option<Body>),
}

impl Payload {
    /// Buffers the body of a request if it is small and there is memory.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] if the body is larger than allowed or breaks off.
    pub async fn read(
        routed: &RoutedRequest,
        buffers: &Arc<Buffers>,
        mut incoming: RequestBody,
    ) -> Result<Self, Rejection> {
        let hint = incoming.size_hint();
        if hint.lower() > routed.body_max {
            return Err(Rejection::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
            ));
        }
        if hint.lower() > BUFFER_MAX as u64 {
            return Ok(Self::Streaming(Some(body::boxed(incoming))));
        }
        let mut bytes = BytesMut::new();
        let mut reservation = buffers.reserve(routed.team_share());
        while let Some(frame) = incoming.frame().await {
            let broken = Rejection::new(StatusCode::BAD_REQUEST, "body_broken");
            let frame = frame.map_err(|_| broken)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > BUFFER_MAX || !reservation.grow(bytes.capacity()) {
                return Ok(Self::Streaming(Some(body::boxed(ResumedBody {
                    prefix: Some(reservation.hold(bytes.freeze())),
                    remaining: incoming,
                }))));
            }
        }
        Ok(Self::Buffered(reservation.hold(bytes.freeze())))
    }

    /// Returns the body to send, if it is still available.
    pub fn take_body(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(body::full(bytes.clone())),
            Self::Streaming(body) => body.take(),
        }
    }

    /// Returns the body if it is buffered.
    pub fn buffered(&self) -> Option<&Bytes> {
        match self {
            Self::Buffered(bytes) => Some(bytes),
            Self::Streaming(_) => None,
        }
    }

    /// Size of the body, in bytes; that of a streamed one is what its head announces, or 0.
    pub fn size(&self, routed: &RoutedRequest) -> u64 {
        if let Some(bytes) = self.buffered() {
            return bytes.len() as u64;
        }
        let length = header_text(&routed.head.headers, &CONTENT_LENGTH);
        length
            .and_then(|length| length.parse().ok())
            .unwrap_or_default()
    }

    /// Takes back a body of which nothing was sent.
    pub fn restore_body(&mut self, body: Body) {
        if let Self::Streaming(stream) = self {
            *stream = Some(body);
        }
    }

    /// Whether the body can be sent (again).
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(body) => body.is_some(),
        }
    }
}

/// A body whose first part has already been read.
struct ResumedBody {
    prefix: Option<Bytes>,
    remaining: RequestBody,
}

impl http_body::Body for ResumedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.remaining).poll_frame(cx)
    }
}
