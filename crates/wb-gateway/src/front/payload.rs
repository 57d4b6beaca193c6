//! Bodies of requests.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http::StatusCode;
use http_body::Body as _;
use http_body::Frame;
use http_body_util::BodyExt;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;

use super::intake::Intake;
use super::intake::Rejection;

/// Bodies up to this size are read whole before a server is chosen, in bytes: a server that sheds
/// the request costs its caller nothing then. Some hundred of them fit into a small instance.
const KEEP_MAX: usize = 1024 * 1024;

/// Body of a request.
pub enum Payload {
    /// Read whole; can be sent any number of times.
    Kept(Bytes),
    /// Passed on as it comes; can be handed over once.
    Stream(Option<Body>),
}

impl Payload {
    /// Takes the body of a request: reads it whole if it is small.
    ///
    /// # Errors
    ///
    /// A [`Rejection`] if the body is larger than allowed, or breaks off.
    pub async fn read(intake: &Intake, mut incoming: RequestBody) -> Result<Self, Rejection> {
        let hint = incoming.size_hint();
        if hint.lower() > intake.body_max {
            return Err(Rejection::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
            ));
        }
        if hint.lower() > KEEP_MAX as u64 {
            return Ok(Self::Stream(Some(body::boxed(incoming))));
        }
        let mut bytes = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let broken = Rejection::new(StatusCode::BAD_REQUEST, "body_broken");
            let frame = frame.map_err(|_| broken)?;
            if let Ok(data) = frame.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > KEEP_MAX {
                return Ok(Self::Stream(Some(body::boxed(Resumed {
                    begin: Some(bytes.freeze()),
                    rest: incoming,
                }))));
            }
        }
        Ok(Self::Kept(bytes.freeze()))
    }

    /// A body to hand over, if there still is one.
    pub fn hand_over(&mut self) -> Option<Body> {
        match self {
            Self::Kept(bytes) => Some(body::full(bytes.clone())),
            Self::Stream(body) => body.take(),
        }
    }

    /// Takes a body back that was not handed over.
    pub fn give_back(&mut self, body: Body) {
        if let Self::Stream(stream) = self {
            *stream = Some(body);
        }
    }

    /// Whether the body can be handed over (again).
    pub fn is_ready(&self) -> bool {
        match self {
            Self::Kept(_) => true,
            Self::Stream(body) => body.is_some(),
        }
    }
}

/// What was read of a body, and the rest of it.
struct Resumed {
    begin: Option<Bytes>,
    rest: RequestBody,
}

impl http_body::Body for Resumed {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(begin) = self.begin.take() {
            return Poll::Ready(Some(Ok(Frame::data(begin))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }
}
