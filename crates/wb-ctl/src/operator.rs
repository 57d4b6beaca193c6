//! Calls of one instance.

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

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(25);

/// The operators' side of one instance.
#[derive(Clone)]
pub struct OperatorClient {
    target: Client,
}

impl OperatorClient {
    /// An instance at its operators' address.
    pub fn new(address: SocketAddr, token: &str) -> Self {
        let target = Client {
            pool: Pool::new(Default::default()),
            address,
            timeout: TIMEOUT,
            token: Some(token.to_owned()),
        };
        Self { target }
    }

    /// Whether the instance is ready.
    pub async fn ready(&self) -> bool {
        let whole = self.target.get("/ready").await;
        whole.is_ok_and(|whole| whole.status.is_success())
    }

    /// The table in force there.
    ///
    /// # Errors
    ///
    /// When the call fails or is refused; likewise below.
    pub async fn table(&self) -> eyre::Result<Delta> {
        self.get("/table").await
    }

    /// State of the instance.
    pub async fn status(&self) -> eyre::Result<Status> {
        self.get("/status").await
    }

    /// Decisions about a request.
    pub async fn explain(&self, request: &str) -> eyre::Result<Explanation> {
        self.get(&format!("/explain/{request}")).await
    }

    /// What became of an edit.
    pub async fn edit_state(&self, id: &str) -> eyre::Result<EditOutcome> {
        self.get(&format!("/edit/{id}")).await
    }

    /// Text of the metrics.
    pub async fn metrics(&self) -> eyre::Result<String> {
        let whole = self.target.get("/metrics").await?;
        Ok(String::from_utf8_lossy(&whole.body).into_owned())
    }

    /// Decides an edit.
    pub async fn submit_edit(&self, edit: &Edit) -> eyre::Result<EditOutcome> {
        let whole = self.target.post("/table", edit).await?;
        if !whole.status.is_success() {
            bail!("{}: {}", whole.status, String::from_utf8_lossy(&whole.body));
        }
        whole.json().wrap_err("the answer is malformed")
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let whole = self.target.get(path).await?;
        if !whole.status.is_success() {
            bail!("{}: {}", whole.status, String::from_utf8_lossy(&whole.body));
        }
        whole.json().wrap_err("the answer is malformed")
    }
}
