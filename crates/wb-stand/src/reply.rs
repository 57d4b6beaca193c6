//! Answers in JSON.

use http::Response;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
pub use wb_http::body::empty_response;

/// Largest body of a control or platform call, in bytes.
const BODY_MAX: usize = 16 * 1024 * 1024;
/// Longest pause inside the body of a call.
const IDLE: std::time::Duration = std::time::Duration::from_secs(5);

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("messages hold only serialisable types");
    let mut response = Response::new(body::full(text));
    *response.status_mut() = status;
    response
}

/// Reads a JSON body.
///
/// # Errors
///
/// The answer to give instead.
pub async fn read<T: DeserializeOwned>(incoming: RequestBody) -> Result<T, Response<Body>> {
    let bytes = body::read(incoming, BODY_MAX, IDLE).await;
    let bytes = bytes.map_err(|_| empty_response(StatusCode::BAD_REQUEST))?;
    serde_json::from_slice(&bytes).map_err(|err| json(StatusCode::BAD_REQUEST, &err.to_string()))
}
