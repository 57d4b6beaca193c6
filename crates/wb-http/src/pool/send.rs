//! Sending a request on a connection of the pool.

use std::io;
use std::net::SocketAddr;

use http::HeaderValue;
use http::Request;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body::Body as _;

use super::IdleConnection;
use super::Pool;
use super::PooledResponse;
use super::ResponseBody;
use super::SendError;
use super::SendOptions;
use crate::Body;

/// A connection that was taken from the pool to send one request. Dropping it closes it.
pub struct Connection {
    inner: IdleConnection,
    pool: Pool,
}

impl Pool {
    /// Takes an idle connection, or opens a new one. Nothing is sent to the server, so a caller that
    /// drops the future knows that its request was not executed.
    ///
    /// # Errors
    ///
    /// If no connection is open and none can be opened.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        options: SendOptions,
    ) -> io::Result<Connection> {
        let mut inner = match self.take_idle(address, options) {
            Some(idle) => idle,
            None => self.connect(address, options).await?,
        };
        inner.last = options.tag;
        let pool = self.clone();
        Ok(Connection { inner, pool })
    }

    /// Sends a request and waits for the response head. Dropping the future closes the connection,
    /// so that the server can cancel the request.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was sent, [`SendError::NoResponse`] otherwise.
    pub async fn send(
        &self,
        address: SocketAddr,
        options: SendOptions,
        request: Request<Body>,
    ) -> Result<PooledResponse, SendError> {
        let mut request = request;
        loop {
            let connection = match self.checkout(address, options).await {
                Ok(connection) => connection,
                Err(err) => {
                    return Err(SendError::NotSent {
                        request: Box::new(request),
                        reason: err.to_string(),
                    });
                }
            };
            let reused = connection.is_reused();
            match connection.send(request).await {
                Err(SendError::NotSent { request: back, .. }) if reused => request = *back,
                other => return other,
            }
        }
    }
}

impl Connection {
    /// Whether earlier requests were sent on the connection. The server may have closed such a
    /// connection meanwhile.
    pub fn is_reused(&self) -> bool {
        self.inner.reused
    }

    /// Sends a request and waits for the response head. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was sent, [`SendError::NoResponse`] otherwise.
    pub async fn send(self, request: Request<Body>) -> Result<PooledResponse, SendError> {
        let Self { mut inner, pool } = self;
        let mut request = request;
        frame_body(&mut request);
        let idle_time = inner.idle_time();
        match inner.sender.try_send_request(request).await {
            Ok(response) => {
                inner.meter.claim();
                Ok(response.map(|body| ResponseBody::new(body, idle_time, inner, pool)))
            }
            Err(mut err) => match err.take_message() {
                Some(request) => Err(SendError::NotSent {
                    request: Box::new(request),
                    reason: err.error().to_string(),
                }),
                None => Err(SendError::NoResponse {
                    reason: err.error().to_string(),
                    idle_time,
                }),
            },
        }
    }
}

/// Names the framing of a body of unknown length. In methods that usually have no body the HTTP library leaves it out
/// otherwise.
fn frame_body(request: &mut Request<Body>) {
    let is_known = request.body().size_hint().exact().is_some();
    let headers = request.headers_mut();
    if !is_known && !headers.contains_key(CONTENT_LENGTH) {
        headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
    }
}
