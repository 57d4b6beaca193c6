//! Client for the operators' API of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Context;
use eyre::bail;
use wb_entry::operators::Explanation;
use wb_entry::operators::Status;
use wb_http::Pool;
use wb_http::client::Client;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(25);

/// Client for the operators' address of one instance.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client,
}

impl OperatorClient {
    /// Creates a client that sends `token` with each call.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        let client = Client {
            pool: Pool::new(Default::default()),
            address,
            timeout: TIMEOUT,
            token: Some(token.to_owned()),
        };
        Self { client }
    }

    /// Returns whether the instance is ready; false if it can't be reached.
    pub async fn ready(&self) -> bool {
        let response = self.client.get("/ready").await;
        response.is_ok_and(|response| response.status.is_success())
    }

    /// Reads the table in force at the instance.
    ///
    /// # Errors
    ///
    /// If the call fails or is refused, as for all methods below.
    pub async fn table(&self) -> eyre::Result<Delta> {
        self.get("/table").await
    }

    /// Reads the status of the instance.
    pub async fn status(&self) -> eyre::Result<Status> {
        self.get("/status").await
    }

    /// Reads the decisions about a request.
    pub async fn explain(&self, request: &str) -> eyre::Result<Explanation> {
        self.get(&format!("/explain/{request}")).await
    }

    /// Reads the result of an edit.
    pub async fn edit_state(&self, id: &str) -> eyre::Result<EditOutcome> {
        self.get(&format!("/edit/{id}")).await
    }

    /// Reads the metrics, in the text format of Prometheus. Doesn't check the status of the
    /// response.
    pub async fn metrics(&self) -> eyre::Result<String> {
        let response = self.client.get("/metrics").await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// Submits an edit and returns its result.
    pub async fn submit_edit(&self, edit: &Edit) -> eyre::Result<EditOutcome> {
        let response = self.client.post("/table", edit).await?;
        if !response.status.is_success() {
            bail!(
                "{}: {}",
                response.status,
                String::from_utf8_lossy(&response.body)
            );
        }
        response.json().wrap_err("malformed response")
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let response = self.client.get(path).await?;
        if !response.status.is_success() {
            bail!(
                "{}: {}",
                response.status,
                String::from_utf8_lossy(&response.body)
            );
        }
        response.json().wrap_err("malformed response")
    }
}
