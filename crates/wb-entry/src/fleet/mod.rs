//! Membership of the fleet and placement of services on instances.

mod actor;
mod exchange;
mod leaving_servers;
mod placement;
mod view;

use ractor::RpcReplyPort;
use wb_types::id::InstanceName;
use wb_types::member::GossipMessage;
use wb_types::roster::Instance;
use wb_types::roster::Roster;

pub use actor::spawn;
pub use view::FleetView;
pub use view::MemberView;

/// Messages of the fleet actor.
pub enum FleetMessage {
    /// Probes the next member.
    Probe,
    /// Exchanges load with the other homes.
    Exchange,
    /// Reads the roster from the platform.
    Poll,
    /// Roster that the platform returned; empty if the call failed.
    RosterPolled(Roster),
    /// A member answered a probe or an exchange.
    PeerReplied(Box<PeerReply>),
    /// A member answered neither a direct nor an indirect probe.
    ProbeFailed(InstanceName),
    /// Another instance sent a gossip message; replies with that of this instance.
    ServeExchange(Box<GossipMessage>, RpcReplyPort<GossipMessage>),
    /// A backend server announced that it is leaving.
    ServerLeaving(wb_types::member::LeavingServer),
    /// Marks this instance as having left; replies with the live instances.
    Leave(RpcReplyPort<Vec<Instance>>),
}

/// A member's answer to a probe or an exchange.
pub struct PeerReply {
    /// The member that was called.
    pub peer: Instance,
    /// Gossip message that it returned.
    pub gossip: GossipMessage,
}
