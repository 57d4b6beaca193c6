//! Which instances are alive.

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

/// Settings of [`Members`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance itself.
    pub own: Instance,
    /// Number of this process start; a later start has a higher one.
    pub incarnation: wb_types::id::Incarnation,
    /// Time that a suspect has to refute.
    pub suspicion_timeout: Duration,
    /// Time without an answer to any probe after which the instance counts itself as isolated.
    pub isolation_timeout: Duration,
    /// Pieces of news in one message.
    pub gossip_max: usize,
    /// Seed of random choices.
    pub seed: u64,
}

/// A change of liveness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LivenessChange {
    /// The member.
    pub name: InstanceName,
    /// Its liveness now.
    pub liveness: Liveness,
}

/// What is known of one other instance.
#[derive(Clone, Debug)]
struct Member {
    news: MemberUpdate,
    instance: Instance,
    since: Moment,
    listed: bool,
}

/// News that is still to be told.
#[derive(Clone, Debug)]
struct Rumour {
    news: MemberUpdate,
    told: u32,
}

/// The membership as one instance sees it.
#[derive(Debug)]
pub struct Membership {
    options: Options,
    me: MemberUpdate,
    others: BTreeMap<InstanceName, Member>,
    unlisted: BTreeMap<InstanceName, MemberUpdate>,
    rumours: Vec<Rumour>,
    round: Vec<InstanceName>,
    answered: Moment,
    called: Moment,
    deaf: bool,
    tried: u32,
    rng: SmallRng,
}
