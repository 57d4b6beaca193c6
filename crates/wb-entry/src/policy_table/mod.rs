//! The policy table: follows the platform and other instances, and commits edits.

mod actor;
mod edit;

use std::net::SocketAddr;

use ractor::RpcReplyPort;
use wb_types::id::EditId;
use wb_types::id::TableVersion;
use wb_types::policy::Delta;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;
use wb_types::policy::VersionedRow;

pub use actor::spawn;

/// Messages of the policy table actor.
pub enum TableMessage {
    /// Reads changes from the platform.
    Poll,
    /// Changes that the platform returned.
    Polled(Result<Delta, wb_platform::Error>),
    /// Changes fetched from another instance, or read from the platform for an edit; `None` if the
    /// fetch failed.
    Fetched(Option<Delta>),
    /// Another instance announced the version of its table.
    VersionSeen(PeerVersion),
    /// Validates and commits an edit.
    Edit(Box<Edit>, RpcReplyPort<EditOutcome>),
    /// Rows of an edit that was committed by this instance.
    Committed(Vec<VersionedRow>),
    /// Looks up the outcome of an edit.
    EditState(EditId, RpcReplyPort<EditOutcome>),
}

/// Version of another instance's policy table.
#[derive(Clone, Debug)]
pub struct PeerVersion {
    /// Peer address from which rows can be fetched, if known.
    pub from: Option<SocketAddr>,
    /// Version of the table.
    pub version: TableVersion,
    /// Rows in force there that are newer than the version.
    pub newer_rows: Vec<VersionedRow>,
}
