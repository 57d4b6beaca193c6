//! Client for calls whose bodies fit in memory.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Pool;
use crate::body;
use crate::pool::SendOptions;

/// Size limit of a response body, in bytes: some times that of the largest snapshot of an instance.
const RESPONSE_MAX: usize = 8 * 1024 * 1024;
/// Limit of open connections to one server.
const MAX_CONNECTIONS: u32 = 64;

/// Why a call got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No complete response in time. The call may have taken effect.
    #[error("no response: {0}")]
    NoResponse(String),
    /// The request was not sent, so it took no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The response can't be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// [`CallError::Malformed`] with the status and the error of the decoder.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|err| CallError::Malformed(format!("{}: {err}", self.status)))
    }
}

/// Client for one server.
#[derive(Clone)]
pub struct Client {
    /// Connection pool.
    pub pool: Pool,
    /// Address of the server.
    pub address: SocketAddr,
    /// Timeout for the complete response.
    pub timeout: Duration,
    /// Bearer token, if the server needs one.
    pub token: Option<String>,
}

impl Client {
    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn get(&self, path: &str) -> Result<BufferedResponse, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn post<T: Serialize>(
        &self,
        path: &str,
        value: &T,
    ) -> Result<BufferedResponse, CallError> {
        let body = serde_json::to_vec(value).map_err(|err| CallError::NotSent(err.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Sends a request with any method and body.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        content: Bytes,
    ) -> Result<BufferedResponse, CallError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string());
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request
            .body(body::full(content))
            .map_err(|err| CallError::NotSent(err.to_string()))?;
        let exchange = self.exchange(request);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                self.pool.close_idle(self.address);
                Err(CallError::NoResponse(format!(
                    "timed out after {:?}",
                    self.timeout
                )))
            }
        }
    }

    async fn exchange(&self, request: Request<crate::Body>) -> Result<BufferedResponse, CallError> {
        let options = SendOptions::new(MAX_CONNECTIONS, true);
        let sent = self.pool.send(self.address, options, request).await;
        let response = sent.map_err(|err| match err {
            crate::SendError::NotSent { reason, .. } => CallError::NotSent(reason),
            crate::SendError::NoResponse { reason, .. } => CallError::NoResponse(reason),
        })?;
        let (head, body) = response.into_parts();
        let body = body::read(body, RESPONSE_MAX, self.timeout)
            .await
            .map_err(|err| CallError::NoResponse(err.to_string()))?;
        Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
