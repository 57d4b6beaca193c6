//! BufferedResponse requests with small bodies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Pool;
use crate::body;
use crate::pool::SendOptions;

/// Largest answer, in bytes.
const ANSWER_MAX: usize = 64 * 1024 * 1024;
/// Connections to one server.
const CONNECTIONS: u32 = 64;

/// Why a call gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No whole answer in time. It may have taken effect.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The request was not sent, so it took no effect.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The answer is not of the expected form.
    #[error("unexpected answer: {0}")]
    Malformed(String),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`CallError::Malformed`] with the status and the library's finding.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body)
            .map_err(|err| CallError::Malformed(format!("{}: {err}", self.status)))
    }
}

/// Where calls go, and with what.
#[derive(Clone)]
pub struct Client {
    /// Connections.
    pub pool: Pool,
    /// Address of the server.
    pub address: SocketAddr,
    /// Longest wait for a whole answer.
    pub timeout: Duration,
    /// Bearer token, if calls need one.
    pub token: Option<String>,
}

impl Client {
    /// Calls without a body.
    ///
    /// # Errors
    ///
    /// See [`CallError`].
    pub async fn get(&self, path: &str) -> Result<BufferedResponse, CallError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Calls with a JSON body.
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

    /// Calls with any method and body.
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
                Err(CallError::NoResponse(format!("none in {:?}", self.timeout)))
            }
        }
    }

    async fn exchange(&self, request: Request<crate::Body>) -> Result<BufferedResponse, CallError> {
        let terms = SendOptions::new(CONNECTIONS, true);
        let sent = self.pool.send(self.address, terms, request).await;
        let reply = sent.map_err(|err| match err {
            crate::SendError::NotSent { reason, .. } => CallError::NotSent(reason),
            crate::SendError::NoResponse { reason, .. } => CallError::NoResponse(reason),
        })?;
        let status = reply.status();
        let body = body::read(reply.into_body(), ANSWER_MAX, self.timeout)
            .await
            .map_err(|err| CallError::NoResponse(err.to_string()))?;
        Ok(BufferedResponse { status, body })
    }
}
