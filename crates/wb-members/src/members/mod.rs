//! Membership of the fleet: a SWIM-like failure detector with gossip.

mod access;
mod init;
mod merge;
mod probe;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::member::Liveness;
use wb_types::member::MemberUpdate;
use wb_types::roster::Instance;

/// Settings of [`Membership`].
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance.
    pub instance: Instance,
    /// Incarnation of this process; a later start has a higher one.
    pub incarnation: wb_types::id::Incarnation,
    /// Time in which a suspect instance can refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Time without an answer to any probe after which this instance counts itself as isolated, and
    /// without a call from another after which it counts as unreachable.
    pub isolation_timeout: Duration,
    /// Most updates in one message.
    pub gossip_max: usize,
    /// Seed of random choices.
    pub seed: u64,
}

/// A change of a member's liveness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LivenessChange {
    /// The member.
    pub name: InstanceName,
    /// Its liveness now.
    pub liveness: Liveness,
}

/// State of one other instance.
#[derive(Clone, Debug)]
struct Member {
    update: MemberUpdate,
    instance: Instance,
    since: Moment,
    listed: bool,
}

/// An update that is still to be sent.
#[derive(Clone, Debug)]
struct GossipItem {
    update: MemberUpdate,
    send_count: u32,
}

/// The membership as one instance sees it.
#[derive(Debug)]
pub struct Membership {
    options: Options,
    own: MemberUpdate,
    peers: BTreeMap<InstanceName, Member>,
    unlisted: BTreeMap<InstanceName, MemberUpdate>,
    gossip: Vec<GossipItem>,
    probe_order: Vec<InstanceName>,
    last_success: Moment,
    last_inbound: Moment,
    unreachable: bool,
    probe_count: u32,
    rng: SmallRng,
}
