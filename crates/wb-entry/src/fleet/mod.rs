//! The actor that keeps membership and placement.

mod actor;
mod exchange;
mod leavers;
mod placement;
mod view;

use ractor::RpcReplyPort;
use wb_types::id::InstanceName;
use wb_types::member::GossipMessage;
use wb_types::roster::Instance;
use wb_types::roster::Roster;

pub use actor::spawn;
pub use view::MemberView;
pub use view::View;

/// Messages of the fleet's actor.
pub enum FleetMessage {
    /// Time to probe a member.
    Probe,
    /// Time to exchange load with the other homes.
    Exchange,
    /// Time to look at the platform's list.
    Poll,
    /// What the platform listed.
    Listed(Roster),
    /// A member answered a call of this instance.
    Answered(Box<Answered>),
    /// A member did not answer, directly or through others.
    Failed(InstanceName),
    /// Another instance sent news and wants some.
    Heard(Box<GossipMessage>, RpcReplyPort<GossipMessage>),
    /// A backend server said that it is leaving.
    ServerLeaving(wb_types::member::LeavingServer),
    /// The instance leaves.
    Leave(RpcReplyPort<Vec<Instance>>),
}

/// A member's answer to a probe or an exchange.
pub struct Answered {
    /// The member that was called.
    pub peer: Instance,
    /// Its news.
    pub news: GossipMessage,
}
