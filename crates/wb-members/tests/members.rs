//! Membership on virtual time: kills, freezes, one-way links and restarts.

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
        own: instance(at),
        incarnation,
        suspicion_timeout: Duration::from_millis(1000),
        isolation_timeout: Duration::from_millis(2000),
        gossip_max: 8,
        seed: at as u64,
    })
}

struct World {
    members: Vec<Membership>,
    /// Processes that answer nothing and do nothing.
    down: Vec<bool>,
    /// Processes that calls do not reach.
    deaf: Vec<bool>,
    now: Duration,
}

impl World {
    fn new(count: usize) -> Self {
        let list: Vec<Instance> = (0..count).map(instance).collect();
        let mut all: Vec<Membership> = (0..count).map(|at| members(at, 1)).collect();
        for members in &mut all {
            members.set_listed(&list, Duration::ZERO);
        }
        Self {
            members: all,
            down: vec![false; count],
            deaf: vec![false; count],
            now: Duration::ZERO,
        }
    }

    fn reaches(&self, to: usize) -> bool {
        !self.down[to] && !self.deaf[to]
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let sender = self.members[from].own_news().clone();
        let news = self.members[from].next_gossip();
        let now = self.now;
        self.members[to].record_inbound(now);
        self.members[to].merge(&news, now);
        self.members[to].merge_sender(&sender, now);
        let answer: Vec<MemberUpdate> = self.members[to].next_gossip();
        let me = self.members[to].own_news().clone();
        self.members[from].record_probe_answer(now);
        self.members[from].merge(&answer, now);
        self.members[from].merge_sender(&me, now);
    }

    /// One period: every running process probes one member.
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
            let seen = asked.count() > 0 && self.reaches(to);
            if !seen && !self.members[from].is_isolated(now) {
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

    /// Running processes that name an instance to callers.
    fn naming(&self, at: usize) -> usize {
        let name = instance(at).name;
        let others = (0..self.members.len()).filter(|other| !self.down[*other]);
        others
            .filter(|other| {
                let named = self.members[*other].advertised(self.now);
                named.iter().any(|instance| instance.name == name)
            })
            .count()
    }

    /// Live processes that some running process holds for dead.
    fn wrongly_out(&self) -> usize {
        let pairs =
            (0..self.members.len()).flat_map(|a| (0..self.members.len()).map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| !self.down[*a] && !self.down[*b] && !self.deaf[*b])
            .filter(|(_, b)| !self.deaf[*b])
            .filter(|(a, b)| {
                let liveness = self.members[*a].liveness(&instance(*b).name);
                liveness == Some(Liveness::Dead)
            })
            .count()
    }
}

macro_rules! fleets {
    ($($name:ident: $count:literal,)*) => {
        mod killed {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let mut world = World::new($count);
                    world.run(Duration::from_secs(5));
                    assert_eq!(world.naming(1), $count);
                    world.down[1] = true;
                    world.run(Duration::from_secs(3));
                    assert_eq!(world.naming(1), 0);
                    assert_eq!(world.wrongly_out(), 0);
                }
            )*
        }
        mod deaf {
            use super::*;
            $(
                #[test]
                fn $name() {
                    let mut world = World::new($count);
                    world.run(Duration::from_secs(5));
                    world.deaf[1] = true;
                    world.run(Duration::from_secs(4));
                    assert_eq!(world.naming(1), 0);
                    world.run(Duration::from_secs(10));
                    assert_eq!(world.naming(1), 0);
                    world.deaf[1] = false;
                    world.run(Duration::from_secs(20));
                    assert_eq!(world.naming(1), $count);
                    assert_eq!(world.wrongly_out(), 0);
                }
            )*
        }
    };
}

fleets! {
    of_6: 6,
    of_40: 40,
    of_150: 150,
}

#[test]
fn a_frozen_instance_comes_back_and_a_healthy_fleet_stays_whole() {
    let mut world = World::new(40);
    world.run(Duration::from_secs(60));
    assert_eq!(world.wrongly_out(), 0);
    world.down[5] = true;
    world.run(Duration::from_secs(20));
    world.down[5] = false;
    world.run(Duration::from_secs(20));
    assert_eq!(world.naming(5), 40);
    assert_eq!(world.wrongly_out(), 0);
}

#[test]
fn a_restart_at_the_same_address_is_another_member() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(5));
    world.members[2] = members(2, 2);
    let list: Vec<Instance> = (0..6).map(instance).collect();
    world.members[2].set_listed(&list, world.now);
    world.run(Duration::from_secs(5));
    let known = world.members[0].incarnation(&instance(2).name);
    assert_eq!(known, Some(2));
    assert_eq!(world.naming(2), 6);
}

#[test]
fn a_leaver_is_believed_at_once() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(5));
    world.members[3].leave();
    let news = world.members[3].own_news().clone();
    let now = world.now;
    for other in 0..6 {
        if other != 3 {
            world.members[other].merge(std::slice::from_ref(&news), now);
        }
    }
    assert_eq!(world.naming(3), 0);
}
