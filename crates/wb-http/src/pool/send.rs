//! Sending a request on a connection of the pool.

use std::net::SocketAddr;

use http::Request;

use super::IdleConnection;
use super::Pool;
use super::PooledResponse;
use super::ResponseBody;
use super::SendError;
use super::SendOptions;
use crate::Body;

impl Pool {
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
        while let Some(idle) = self.take_idle(address, options) {
            match self.send_on(idle, request).await {
                Err(SendError::NotSent { request: back, .. }) => request = *back,
                other => return other,
            }
        }
        match self.connect(address, options).await {
            Ok(idle) => self.send_on(idle, request).await,
            Err(err) => Err(SendError::NotSent {
                request: Box::new(request),
                reason: err.to_string(),
            }),
        }
    }

    async fn send_on(
        &self,
        idle: IdleConnection,
        request: Request<Body>,
    ) -> Result<PooledResponse, SendError> {
        let mut idle = idle;
        let idle_time = idle.idle_time();
        match idle.sender.try_send_request(request).await {
            Ok(response) => {
                let pool = self.clone();
                Ok(response.map(|body| ResponseBody::new(body, idle_time, idle, pool)))
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
