//! HTTP calls to the platform and their results.

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use wb_http::client::BufferedResponse;
use wb_http::client::CallError;
use wb_types::id::TableVersion;
use wb_types::policy::Delta;

use super::RemotePlatform;
use super::rows;
use crate::ClaimResult;
use crate::CommitResult;
use crate::Error;
use crate::protocol::Done;
use crate::protocol::Rows;
use crate::protocol::StoredRow;
use crate::protocol::Transaction;

impl From<CallError> for Error {
    fn from(err: CallError) -> Self {
        match err {
            CallError::NotSent(reason) => Self::Unavailable(reason),
            CallError::NoResponse(reason) => Self::Indeterminate(reason),
            CallError::Malformed(reason) => Self::Malformed(reason),
        }
    }
}

/// Turns an error status into an error.
fn check_status(response: BufferedResponse) -> Result<BufferedResponse, Error> {
    if response.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Error::Unavailable(response.status.to_string()));
    }
    if response.status.is_success() {
        Ok(response)
    } else {
        Err(Error::Malformed(response.status.to_string()))
    }
}

impl RemotePlatform {
    pub(super) async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let response = check_status(self.client.get(path).await?)?;
        Ok(response.json()?)
    }

    pub(super) async fn get_row(&self, path: &str) -> Result<Option<StoredRow>, Error> {
        let response = self.client.get(path).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(check_status(response)?.json()?))
    }

    pub(super) async fn get_text(&self, path: &str) -> Result<Option<String>, Error> {
        let response = self.client.get(path).await?;
        if response.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let body = check_status(response)?.body;
        let text = String::from_utf8(body.to_vec());
        text.map(Some)
            .map_err(|err| Error::Malformed(err.to_string()))
    }

    pub(super) async fn put_text(&self, path: &str, text: String) -> Result<(), Error> {
        let body = Bytes::from(text);
        check_status(self.client.call(Method::PUT, path, body).await?)?;
        Ok(())
    }

    pub(super) async fn read_changes(&self, after: TableVersion) -> Result<Delta, Error> {
        let path = format!("/v1/tables/{}?after={after}", rows::POLICY);
        let found: Rows = self.get_json(&path).await?;
        rows::delta(after, found)
    }

    pub(super) async fn transact(&self, transaction: &Transaction) -> Result<CommitResult, Error> {
        let response = self.client.post("/v1/transactions", transaction).await?;
        if response.status == StatusCode::CONFLICT {
            return Ok(CommitResult::Conflict);
        }
        let done: Done = check_status(response)?.json()?;
        Ok(CommitResult::Committed(done.version))
    }

    /// Claims a key. If the response is lost or the key is claimed already, reads it back, so that
    /// a claim by this same request counts as acquired.
    pub(super) async fn claim_key(&self, key: String, text: String) -> Result<ClaimResult, Error> {
        match self.transact(&rows::claim(&key, &text)).await {
            Ok(CommitResult::Committed(_)) => return Ok(ClaimResult::Acquired),
            Ok(CommitResult::Conflict) | Err(Error::Indeterminate(_)) => {}
            Err(err) => return Err(err),
        }
        let path = format!("/v1/tables/{}/{key}", rows::CLAIMS);
        let row = self.get_row(&path).await?;
        let Some(row) = row else {
            return Err(Error::Indeterminate(
                "the claim is not in the table".to_owned(),
            ));
        };
        let found = row.value.as_str().unwrap_or_default();
        if found == text {
            Ok(ClaimResult::Acquired)
        } else {
            Ok(ClaimResult::HeldByOther(found.to_owned()))
        }
    }
}
