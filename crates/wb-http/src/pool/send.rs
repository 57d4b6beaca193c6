//! Handing a request to a connection.

use std::net::SocketAddr;

use http::Request;

use super::Answer;
use super::Idle;
use super::Pool;
use super::Reply;
use super::SendError;
use super::Terms;
use crate::Body;

impl Pool {
    /// Sends a request and waits for the head of the answer. Dropping the future closes the
    /// connection, which tells the server to cancel.
    ///
    /// # Errors
    ///
    /// [`SendError::Unsent`] only if no byte was handed over.
    pub async fn send(
        &self,
        address: SocketAddr,
        terms: Terms,
        request: Request<Body>,
    ) -> Result<Reply, SendError> {
        let mut request = request;
        while let Some(idle) = self.take_idle(address, terms) {
            match self.hand_over(idle, request).await {
                Err(SendError::Unsent { request: back, .. }) => request = *back,
                other => return other,
            }
        }
        match self.connect(address, terms).await {
            Ok(idle) => self.hand_over(idle, request).await,
            Err(err) => Err(SendError::Unsent {
                request: Box::new(request),
                why: err.to_string(),
            }),
        }
    }

    async fn hand_over(&self, idle: Idle, request: Request<Body>) -> Result<Reply, SendError> {
        let mut idle = idle;
        let rested = idle.rested();
        match idle.sender.try_send_request(request).await {
            Ok(response) => {
                let pool = self.clone();
                Ok(response.map(|body| Answer::new(body, rested, idle, pool)))
            }
            Err(mut err) => match err.take_message() {
                Some(request) => Err(SendError::Unsent {
                    request: Box::new(request),
                    why: err.error().to_string(),
                }),
                None => Err(SendError::Lost {
                    why: err.error().to_string(),
                    rested,
                }),
            },
        }
    }
}
