//! Body type of requests and responses, constructors for it, and reading with limits.

use std::error;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;

/// Error of a body, of any type.
pub type BoxError = Box<dyn error::Error + Send + Sync>;
/// Body of requests and responses.
pub type Body = BoxBody<Bytes, BoxError>;

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Boxes a body of any type.
pub fn boxed<B>(body: B) -> Body
where
    B: http_body::Body<Data = Bytes> + Send + Sync + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed()
}

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body exceeds this limit, in bytes.
    #[error("body is larger than {0} bytes")]
    TooLarge(usize),
    /// The stream failed before the end of the body.
    #[error("body is incomplete: {0}")]
    Aborted(BoxError),
    /// No data arrived within this time.
    #[error("no data of the body arrived within {0:?}")]
    IdleTimeout(Duration),
}

/// Reads a whole body of up to `limit` bytes; each frame must arrive within `idle`.
///
/// # Errors
///
/// See [`ReadError`]. A body that is shorter than its declared length is [`ReadError::Aborted`].
pub async fn read<B>(mut body: B, limit: usize, idle: Duration) -> Result<Bytes, ReadError>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    let mut bytes = Vec::new();
    if body.size_hint().lower() > limit as u64 {
        return Err(ReadError::TooLarge(limit));
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
        if bytes.len() + data.len() > limit {
            return Err(ReadError::TooLarge(limit));
        }
        bytes.extend_from_slice(&data);
    }
}
