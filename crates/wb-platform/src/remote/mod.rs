//! Implementation of the [`Platform`] trait over HTTP.

mod calls;
mod rows;

use futures::FutureExt;
use futures::future::BoxFuture;
use wb_http::client::Client;
use wb_types::id::TableVersion;
use wb_types::policy::Content;
use wb_types::policy::Delta;
use wb_types::roster::Roster;

use crate::ClaimResult;
use crate::CommitResult;
use crate::EditState;
use crate::Error;
use crate::Platform;
use crate::api::RowCheck;

/// A platform that is called over HTTP.
#[derive(Clone)]
pub struct RemotePlatform {
    client: Client,
}

impl RemotePlatform {
    /// Creates a platform that is called through `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }
}

impl Platform for RemotePlatform {
    fn roster(&self) -> BoxFuture<'_, Result<Roster, Error>> {
        self.get_json("/v1/list").boxed()
    }

    fn policy_changes(&self, after: TableVersion) -> BoxFuture<'_, Result<Delta, Error>> {
        self.read_changes(after).boxed()
    }

    fn commit(
        &self,
        edit: &str,
        checks: Vec<RowCheck>,
        contents: Vec<Content>,
    ) -> BoxFuture<'_, Result<CommitResult, Error>> {
        let transaction = rows::commit_edit(edit, &checks, &contents);
        async move { self.transact(&transaction?).await }.boxed()
    }

    fn edit_state(&self, edit: &str) -> BoxFuture<'_, Result<EditState, Error>> {
        let path = format!("/v1/tables/{}/{edit}", rows::EDITS);
        async move { Ok(rows::edit_state(self.get_row(&path).await?)) }.boxed()
    }

    fn bar_edit(&self, edit: &str) -> BoxFuture<'_, Result<CommitResult, Error>> {
        let transaction = rows::bar_edit(edit);
        async move { self.transact(&transaction).await }.boxed()
    }

    fn claim(&self, key: &str, text: &str) -> BoxFuture<'_, Result<ClaimResult, Error>> {
        let key = key.to_owned();
        let text = text.to_owned();
        async move { self.claim_key(key, text).await }.boxed()
    }

    fn update_claim(&self, key: &str, text: &str) -> BoxFuture<'_, Result<(), Error>> {
        let transaction = rows::update_claim(key, text);
        async move { self.transact(&transaction).await.map(|_| ()) }.boxed()
    }

    fn put_object(&self, path: &str, text: String) -> BoxFuture<'_, Result<(), Error>> {
        let path = format!("/v1/objects/{path}");
        async move { self.put_text(&path, text).await }.boxed()
    }

    fn get_object(&self, path: &str) -> BoxFuture<'_, Result<Option<String>, Error>> {
        let path = format!("/v1/objects/{path}");
        async move { self.get_text(&path).await }.boxed()
    }

    fn list_objects(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<String>, Error>> {
        let path = format!("/v1/objects?prefix={prefix}");
        async move {
            let names: crate::protocol::Names = self.get_json(&path).await?;
            Ok(names.names)
        }
        .boxed()
    }
}
