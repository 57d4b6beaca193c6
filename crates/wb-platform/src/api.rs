//! What the fleet asks of the platform.

use futures::future::BoxFuture;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::policy::RowKey;
use wb_types::roster::Roster;

/// Why the platform gave nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call took no effect.
    #[error("platform is down: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("platform did not say: {0}")]
    Indeterminate(String),
    /// The answer is not of the published form.
    #[error("platform answered: {0}")]
    Malformed(String),
}

/// Version that a row must have for a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowCheck {
    /// The row.
    pub key: RowKey,
    /// Its version; 0 for none.
    pub version: TableVersion,
}

/// How a commit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitResult {
    /// The rows have this version now.
    Committed(TableVersion),
    /// Some row had another version.
    Conflict,
}

/// What the table service knows of an edit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EditState {
    /// Nothing; it may still arrive.
    Absent,
    /// It was committed.
    Committed(TableVersion),
    /// It was barred.
    Barred,
}

/// How a claim of a caller's own idempotency key ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim stands.
    Acquired,
    /// Another request claimed the key, with this text.
    HeldByOther(String),
}

/// The platform's table service, object store and list.
pub trait Platform: Send + Sync {
    /// Instances and backend servers, as the lagging list has them.
    fn roster(&self) -> BoxFuture<'_, Result<Roster, Error>>;
    /// Policy rows that changed after a version.
    fn policy_changes(&self, after: TableVersion) -> BoxFuture<'_, Result<Delta, Error>>;
    /// Commits rows under an edit's id, if the rows still have the versions that were checked.
    fn commit(
        &self,
        edit: &str,
        checks: Vec<RowCheck>,
        contents: Vec<Content>,
    ) -> BoxFuture<'_, Result<CommitResult, Error>>;
    /// What became of an edit.
    fn edit_state(&self, edit: &str) -> BoxFuture<'_, Result<EditState, Error>>;
    /// Bars an edit that has not been committed, so that it never will be.
    fn bar_edit(&self, edit: &str) -> BoxFuture<'_, Result<CommitResult, Error>>;
    /// Claims a key with a text, unless it is claimed.
    fn claim(&self, key: &str, text: &str) -> BoxFuture<'_, Result<ClaimResult, Error>>;
    /// Replaces the text of a key that this caller of the method has claimed.
    fn update_claim(&self, key: &str, text: &str) -> BoxFuture<'_, Result<(), Error>>;
    /// Stores an object.
    fn put_object(&self, path: &str, text: String) -> BoxFuture<'_, Result<(), Error>>;
    /// Reads an object.
    fn get_object(&self, path: &str) -> BoxFuture<'_, Result<Option<String>, Error>>;
    /// Paths of the objects below a prefix, in order.
    fn list_objects(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<String>, Error>>;
}
