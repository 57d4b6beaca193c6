//! The body type, bodies made of bytes, and answers without one.

use std::error;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;

/// Any error of a body.
pub type BoxError = Box<dyn error::Error + Send + Sync>;
/// Body of requests and answers.
pub type Body = BoxBody<Bytes, BoxError>;

/// A body of bytes that are at hand.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A body without bytes.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// An answer without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Boxes any body.
pub fn boxed<B>(body: B) -> Body
where
    B: http_body::Body<Data = Bytes> + Send + Sync + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed()
}

/// Why a body could not be read whole.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It is larger than the bound.
    #[error("body is larger than {0} bytes")]
    TooLarge(usize),
    /// It broke off.
    #[error("body broke off: {0}")]
    Aborted(BoxError),
    /// No byte came for too long.
    #[error("body paused for longer than {0:?}")]
    IdleTimeout(Duration),
}

/// Reads a body whole, within a size and with no pause longer than `idle`.
///
/// # Errors
///
/// See [`ReadError`]. A body that is shorter than its declared length is [`ReadError::Aborted`].
pub async fn read<B>(mut body: B, bound: usize, idle: Duration) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    let mut bytes = Vec::new();
    if body.size_hint().lower() > bound as u64 {
        return Err(ReadError::TooLarge(bound));
    }
    loop {
        let frame = tokio::time::timeout(idle, body.frame()).await;
        let frame = frame.map_err(|_| ReadError::IdleTimeout(idle))?;
        let Some(frame) = frame else {
            return Ok(bytes.into());
        };
        let frame = frame.map_err(|err| ReadError::Aborted(err.into()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > bound {
            return Err(ReadError::TooLarge(bound));
        }
        bytes.extend_from_slice(&data);
    }
}
