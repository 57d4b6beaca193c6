//! The actor that keeps membership and placement.

mod actor;
mod exchange;
mod leaving_servers;
mod placement;
mod view;

use ractor::RpcReplyPort;
use wb_types::id::InstanceName;
use wb_types::member::News;
use wb_types::roster::Instance;
use wb_types::roster::Roster;

pub use actor::spawn;
pub use view::FleetView;
pub use view::MemberView;

/// Messages of the fleet's actor.
pub enum FleetMessage {
    /// Time to probe a member.
    Probe,
    /// Time to exchange load with the other homes.
    Exchange,
    /// Time to look at the platform's list.
    Poll,
    /// What the platform listed.
    RosterPolled(Roster),
    /// A member answered a call of this instance.
    PeerReplied(Box<PeerReply>),
    /// A member did not answer, directly or through others.
    ProbeFailed(InstanceName),
    /// Another instance sent news and wants some.
    ServeExchange(Box<News>, RpcReplyPort<News>),
    /// A backend server said that it is leaving.
    ServerLeaving(wb_types::member::LeaverNews),
    /// The instance leaves.
    Leave(RpcReplyPort<Vec<Instance>>),
}

/// A member's answer to a probe or an exchange.
pub struct PeerReply {
    /// The member that was called.
    pub peer: Instance,
    /// Its news.
    pub news: News,
}
