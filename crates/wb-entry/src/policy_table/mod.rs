//! The actor that keeps the policy table.

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

/// Messages of the table's actor.
pub enum TableMessage {
    /// Time to look at the platform.
    Poll,
    /// What the platform said.
    Polled(Result<Delta, wb_platform::Error>),
    /// What another instance sent.
    Fetched(Option<Delta>),
    /// Another instance told its version, and rows beyond it.
    VersionSeen(PeerVersion),
    /// An operator's edit.
    Edit(Box<Edit>, RpcReplyPort<EditOutcome>),
    /// An edit was committed.
    Committed(Vec<VersionedRow>),
    /// Asks what became of an edit.
    EditState(EditId, RpcReplyPort<EditOutcome>),
}

/// What another instance told of its table.
#[derive(Clone, Debug)]
pub struct PeerVersion {
    /// Its peer address, if rows can be fetched from there.
    pub from: Option<SocketAddr>,
    /// Its version.
    pub version: TableVersion,
    /// Rows in force there beyond the version.
    pub extra: Vec<VersionedRow>,
}
