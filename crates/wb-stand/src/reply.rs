//! JSON bodies of requests and responses.

use http::Response;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
pub use wb_http::body::empty_response;

/// Size limit of a request body, in bytes.
const BODY_MAX: usize = 16 * 1024 * 1024;
/// Timeout for the next data of a request body.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("the value is serializable");
    let mut response = Response::new(body::full(text));
    *response.status_mut() = status;
    response
}

/// Reads a JSON body.
///
/// # Errors
///
/// The response with which to refuse the request.
pub async fn read<T: DeserializeOwned>(incoming: RequestBody) -> Result<T, Response<Body>> {
    let bytes = body::read(incoming, BODY_MAX, IDLE_TIMEOUT).await;
    let bytes = bytes.map_err(|_| empty_response(StatusCode::BAD_REQUEST))?;
    serde_json::from_slice(&bytes).map_err(|err| json(StatusCode::BAD_REQUEST, &err.to_string()))
}
