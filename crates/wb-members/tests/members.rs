//! Membership on virtual time: killed and frozen instances, one-way links and restarts.

use std::time::Duration;

use wb_members::Membership;
use wb_members::Options;
use wb_types::member::Liveness;
use wb_types::member::MemberUpdate;
use wb_types::roster::Instance;
use wb_types::roster::Lifecycle;

const PERIOD: Duration = Duration::from_millis(250);
const HELPERS: usize = 3;

fn instance(index: usize) -> Instance {
    Instance {
        name: format!("e{index:02}").into(),
        callers: "127.0.0.1:1".parse().expect("an address"),
        peers: "127.0.0.1:1".parse().expect("an address"),
        domain: ["a", "b", "c"][index % 3].into(),
        lifecycle: Lifecycle::Live,
    }
}

fn index(instance: &Instance) -> usize {
    instance.name[1..].parse().expect("names are numbered")
}

fn members(at: usize, incarnation: u64) -> Membership {
    Membership::new(Options {
        instance: instance(at),
        incarnation,
        suspicion_timeout: Duration::from_millis(1000),
        isolation_timeout: Duration::from_millis(2000),
        gossip_max: 8,
        seed: at as u64,
    })
}

struct Fleet {
    members: Vec<Membership>,
    /// Instances that are killed or frozen.
    down: Vec<bool>,
    /// Instances that receive no calls.
    unreachable: Vec<bool>,
    now: Duration,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let list: Vec<Instance> = (0..count).map(instance).collect();
        let mut all: Vec<Membership> = (0..count).map(|at| members(at, 1)).collect();
        for members in &mut all {
            members.set_listed(&list, Duration::ZERO);
        }
        Self {
            members: all,
            down: vec![false; count],
            unreachable: vec![false; count],
            now: Duration::ZERO,
        }
    }

    fn reaches(&self, to: usize) -> bool {
        !self.down[to] && !self.unreachable[to]
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let sender = self.members[from].own_update().clone();
        let updates = self.members[from].next_gossip();
        let now = self.now;
        self.members[to].record_inbound(now);
        self.members[to].merge(&updates, now);
        self.members[to].merge_sender(&sender, now);
        let reply: Vec<MemberUpdate> = self.members[to].next_gossip();
        let own = self.members[to].own_update().clone();
        self.members[from].record_probe_success(now);
        self.members[from].merge(&reply, now);
        self.members[from].merge_sender(&own, now);
    }

    /// One period: every running instance probes one member.
    fn period(&mut self) {
        self.now += PERIOD;
        for from in 0..self.members.len() {
            if self.down[from] {
                continue;
            }
            let now = self.now;
            self.members[from].tick(now);
            let Some(target) = self.members[from].next_probe() else {
                continue;
            };
            let to = index(&target);
            if self.reaches(to) {
                self.exchange(from, to);
                continue;
            }
            let helpers = self.members[from].probe_helpers(&target.name, HELPERS);
            let asked = helpers
                .iter()
                .map(index)
                .filter(|helper| self.reaches(*helper));
            let confirmed = asked.count() > 0 && self.reaches(to);
            if !confirmed && !self.members[from].is_isolated(now) {
                self.members[from].record_probe_failure(&target.name, now);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.period();
        }
    }

    /// Number of running instances that advertise an instance to callers.
    fn advertising(&self, at: usize) -> usize {
        let name = instance(at).name;
        let others = (0..self.members.len()).filter(|other| !self.down[*other]);
        others
            .filter(|other| {
                let advertised = self.members[*other].advertised(self.now);
                advertised.iter().any(|instance| instance.name == name)
            })
            .count()
    }

    /// Number of pairs of a running instance and a reachable one that it marks as dead.
    fn wrongly_dead(&self) -> usize {
        let pairs =
            (0..self.members.len()).flat_map(|a| (0..self.members.len()).map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| !self.down[*a] && !self.down[*b] && !self.unreachable[*b])
            .filter(|(_, b)| !self.unreachable[*b])
            .filter(|(a, b)| {
                let liveness = self.members[*a].liveness(&instance(*b).name);
                liveness == Some(Liveness::Dead)
            })
            .count()
    }
}

macro_rules! fleet_tests {
    ($($name:ident: $count:literal,)*) => {
        mod killed {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let mut fleet = Fleet::new($count);
                    fleet.run(Duration::from_secs(5));
                    assert_eq!(fleet.advertising(1), $count);
                    fleet.down[1] = true;
                    fleet.run(Duration::from_secs(3));
                    assert_eq!(fleet.advertising(1), 0);
                    assert_eq!(fleet.wrongly_dead(), 0);
                }
            )*
        }
        mod unreachable {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let mut fleet = Fleet::new($count);
                    fleet.run(Duration::from_secs(5));
                    fleet.unreachable[1] = true;
                    fleet.run(Duration::from_secs(4));
                    assert_eq!(fleet.advertising(1), 0);
                    fleet.run(Duration::from_secs(10));
                    assert_eq!(fleet.advertising(1), 0);
                    fleet.unreachable[1] = false;
                    fleet.run(Duration::from_secs(20));
                    assert_eq!(fleet.advertising(1), $count);
                    assert_eq!(fleet.wrongly_dead(), 0);
                }
            )*
        }
    };
}

fleet_tests! {
    of_6: 6,
    of_40: 40,
    of_150: 150,
}

#[test]
fn frozen_instance_returns_and_no_live_instance_is_marked_dead() {
    let mut fleet = Fleet::new(40);
    fleet.run(Duration::from_secs(60));
    assert_eq!(fleet.wrongly_dead(), 0);
    fleet.down[5] = true;
    fleet.run(Duration::from_secs(20));
    fleet.down[5] = false;
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.advertising(5), 40);
    assert_eq!(fleet.wrongly_dead(), 0);
}

#[test]
fn restart_at_the_same_address_is_a_new_incarnation() {
    let mut fleet = Fleet::new(6);
    fleet.run(Duration::from_secs(5));
    fleet.members[2] = members(2, 2);
    let list: Vec<Instance> = (0..6).map(instance).collect();
    fleet.members[2].set_listed(&list, fleet.now);
    fleet.run(Duration::from_secs(5));
    let known = fleet.members[0].incarnation(&instance(2).name);
    assert_eq!(known, Some(2));
    assert_eq!(fleet.advertising(2), 6);
}

#[test]
fn leaving_instance_is_no_longer_advertised() {
    let mut fleet = Fleet::new(6);
    fleet.run(Duration::from_secs(5));
    fleet.members[3].leave();
    let update = fleet.members[3].own_update().clone();
    let now = fleet.now;
    for other in 0..6 {
        if other != 3 {
            fleet.members[other].merge(std::slice::from_ref(&update), now);
        }
    }
    assert_eq!(fleet.advertising(3), 0);
}
