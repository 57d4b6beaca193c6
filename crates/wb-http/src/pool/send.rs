//! Handing a request to a connection.

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
    /// Sends a request and waits for the head of the answer. Dropping the future closes the
    /// connection, which tells the server to cancel.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was handed over.
    pub async fn send(
        &self,
        address: SocketAddr,
        terms: SendOptions,
        request: Request<Body>,
    ) -> Result<PooledResponse, SendError> {
        let mut request = request;
        while let Some(idle) = self.take_idle(address, terms) {
            match self.hand_over(idle, request).await {
                Err(SendError::NotSent { request: back, .. }) => request = *back,
                other => return other,
            }
        }
        match self.connect(address, terms).await {
            Ok(idle) => self.hand_over(idle, request).await,
            Err(err) => Err(SendError::NotSent {
                request: Box::new(request),
                reason: err.to_string(),
            }),
        }
    }

    async fn hand_over(
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
