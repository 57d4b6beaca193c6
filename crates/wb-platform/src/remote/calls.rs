//! Calls of the platform.

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
            CallError::NotSent(why) => Self::Unavailable(why),
            CallError::NoResponse(why) => Self::Indeterminate(why),
            CallError::Malformed(why) => Self::Malformed(why),
        }
    }
}

fn good(whole: BufferedResponse) -> Result<BufferedResponse, Error> {
    if whole.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Error::Unavailable(whole.status.to_string()));
    }
    if whole.status.is_success() {
        Ok(whole)
    } else {
        Err(Error::Malformed(whole.status.to_string()))
    }
}

impl RemotePlatform {
    pub(super) async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let whole = good(self.target.get(path).await?)?;
        Ok(whole.json()?)
    }

    pub(super) async fn row(&self, path: &str) -> Result<Option<StoredRow>, Error> {
        let whole = self.target.get(path).await?;
        if whole.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(good(whole)?.json()?))
    }

    pub(super) async fn text(&self, path: &str) -> Result<Option<String>, Error> {
        let whole = self.target.get(path).await?;
        if whole.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let body = good(whole)?.body;
        let text = String::from_utf8(body.to_vec());
        text.map(Some)
            .map_err(|err| Error::Malformed(err.to_string()))
    }

    pub(super) async fn put(&self, path: &str, text: String) -> Result<(), Error> {
        let body = Bytes::from(text);
        good(self.target.call(Method::PUT, path, body).await?)?;
        Ok(())
    }

    pub(super) async fn read_changes(&self, after: TableVersion) -> Result<Delta, Error> {
        let path = format!("/v1/tables/{}?after={after}", rows::POLICY);
        let found: Rows = self.get_json(&path).await?;
        rows::delta(after, found)
    }

    pub(super) async fn transact(&self, transaction: &Transaction) -> Result<CommitResult, Error> {
        let whole = self.target.post("/v1/transactions", transaction).await?;
        if whole.status == StatusCode::CONFLICT {
            return Ok(CommitResult::Conflict);
        }
        let done: Done = good(whole)?.json()?;
        Ok(CommitResult::Committed(done.version))
    }

    /// Claims a key. After a lost answer the key is read back, so that a claim of this very
    /// request is recognised.
    pub(super) async fn claim_key(&self, key: String, text: String) -> Result<ClaimResult, Error> {
        match self.transact(&rows::claim(&key, &text)).await {
            Ok(CommitResult::Committed(_)) => return Ok(ClaimResult::Acquired),
            Ok(CommitResult::Conflict) | Err(Error::Indeterminate(_)) => {}
            Err(err) => return Err(err),
        }
        let path = format!("/v1/tables/{}/{key}", rows::CLAIMS);
        let row = self.row(&path).await?;
        let Some(row) = row else {
            return Err(Error::Indeterminate("the claim was not found".to_owned()));
        };
        let found = row.value.as_str().unwrap_or_default();
        if found == text {
            Ok(ClaimResult::Acquired)
        } else {
            Ok(ClaimResult::HeldByOther(found.to_owned()))
        }
    }
}
