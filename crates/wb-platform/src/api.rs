//! Trait that abstracts the platform, with its results and errors.

use futures::future::BoxFuture;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::RowKey;
use wb_types::roster::Roster;

/// Why a call of the platform failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The platform is down or refused the call, which took no effect.
    #[error("platform is unavailable: {0}")]
    Unavailable(String),
    /// The response was lost, so the call may have taken effect.
    #[error("outcome of the platform call is unknown: {0}")]
    Indeterminate(String),
    /// The response does not follow the published protocol.
    #[error("unexpected platform response: {0}")]
    Malformed(String),
}

/// Precondition of a commit: the version that a row must have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowCheck {
    /// Key of the row.
    pub key: RowKey,
    /// Required version; 0 if the row must not exist.
    pub version: TableVersion,
}

/// Result of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitResult {
    /// Committed with this version.
    Committed(TableVersion),
    /// Not committed, since a precondition did not hold.
    Conflict,
}

/// State of an edit in the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EditState {
    /// Neither committed nor barred; a delayed commit may still arrive.
    Absent,
    /// Committed with this version.
    Committed(TableVersion),
    /// Barred, so that it can no longer be committed.
    Barred,
}

/// Result of claiming an idempotency key that a caller chose itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The key belongs to this request.
    Acquired,
    /// Another request claimed the key and stored this text.
    HeldByOther(String),
}

/// The platform's table service, object store and list of processes.
pub trait Platform: Send + Sync {
    /// Reads the list of instances and backend servers, which may be stale.
    fn roster(&self) -> BoxFuture<'_, Result<Roster, Error>>;
    /// Reads the policy rows that changed after a version.
    fn policy_changes(&self, after: TableVersion) -> BoxFuture<'_, Result<Delta, Error>>;
    /// Commits rows under an edit's id if all preconditions hold and the id is still unused.
    fn commit(
        &self,
        edit: &str,
        checks: Vec<RowCheck>,
        contents: Vec<Content>,
    ) -> BoxFuture<'_, Result<CommitResult, Error>>;
    /// Reads the state of an edit.
    fn edit_state(&self, edit: &str) -> BoxFuture<'_, Result<EditState, Error>>;
    /// Bars an edit that is not committed, so that a delayed commit of it fails.
    fn bar_edit(&self, edit: &str) -> BoxFuture<'_, Result<CommitResult, Error>>;
    /// Claims a key and stores a text with it, unless the key is claimed already.
    fn claim(&self, key: &str, text: &str) -> BoxFuture<'_, Result<ClaimResult, Error>>;
    /// Replaces the text of a key. Only the request that claimed the key may do so; this is not
    /// checked.
    fn update_claim(&self, key: &str, text: &str) -> BoxFuture<'_, Result<(), Error>>;
    /// Stores an object.
    fn put_object(&self, path: &str, text: String) -> BoxFuture<'_, Result<(), Error>>;
    /// Reads an object.
    fn get_object(&self, path: &str) -> BoxFuture<'_, Result<Option<String>, Error>>;
    /// Lists the paths of the objects with a prefix, in order.
    fn list_objects(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<String>, Error>>;
}
