//! Teams within their allowance and above it, on several numbers of homes.

mod support;

use std::time::Duration;

use support::Fleet;
use support::assert_bound;

const INSTANCES: usize = 40;
/// Rates of the teams within their allowance, in requests per second.
const RATES: [f64; 5] = [0.5, 2.0, 10.0, 60.0, 300.0];
/// Share of its allowance that a team uses.
const USED_SHARE: f64 = 0.6;
/// Demand of the hot team, relative to its allowance.
const HOT_SHARE: f64 = 7.0;
const HOT_RATE: f64 = 60.0;
/// Share of what it is allowed that the hot team gets at least.
const HOT_SERVED_MIN: f64 = 0.95;
const SEEDS: u64 = 10;
/// Most requests refused within the allowance, of those of all teams.
const REFUSED_MAX: f64 = 0.001;
/// Most requests refused despite room, of those of any team.
const TEAM_REFUSED_MAX: f64 = 0.02;

/// A fleet that has run for some seconds, so that all leases are given.
fn settled_fleet(homes: usize, clump: u32, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(INSTANCES, homes, seed);
    for rate in RATES {
        fleet.add_team(rate, USED_SHARE, clump);
    }
    fleet.run(Duration::from_secs(10));
    fleet
        .teams
        .iter_mut()
        .for_each(|team| team.restart_counts());
    fleet
}

/// Requests of one team that a perfect system would have admitted, those of them that were refused, and
/// those that were refused although what the team had got left room for them.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    due: u32,
    refused: u32,
    despite: u32,
}

/// Counts of each team but the hot one.
#[derive(Default)]
struct Tally([Counts; RATES.len()]);

impl Tally {
    fn add(&mut self, fleet: &Fleet) {
        for (count, team) in self.0.iter_mut().zip(&fleet.teams) {
            count.due += team.due;
            count.refused += team.refused_due;
            count.despite += team.refused_despite;
        }
    }

    /// Checks the shares refused: of all requests, and of those of any team. A team that has got more
    /// than a perfect system would have given it may be refused a request that is due there.
    fn assert_small(&self, name: &str) {
        println!("{name}: {:?}", self.0);
        let share = |refused: u32, due: u32| f64::from(refused) / f64::from(due);
        let due = self.0.iter().map(|one| one.due).sum();
        let refused = self.0.iter().map(|one| one.refused).sum();
        let all = share(refused, due);
        let despite = self.0.map(|one| share(one.despite, one.due));
        println!("{name}: share refused {all:.5}, despite room by team {despite:.4?}");
        assert!(all <= REFUSED_MAX, "{all}");
        assert!(
            despite.iter().all(|share| *share <= TEAM_REFUSED_MAX),
            "{despite:?}"
        );
    }
}

macro_rules! loads {
    ($($name:ident: $homes:literal homes, clumps of $clump:literal;)+) => {$(
        #[test]
        fn $name() {
            let mut tally = Tally::default();
            for seed in 0..SEEDS {
                let mut fleet = settled_fleet($homes, $clump, seed);
                fleet.run(Duration::from_secs(20));
                let hot = fleet.add_team(HOT_RATE, USED_SHARE, $clump);
                fleet.run(Duration::from_secs(5));
                fleet.teams[hot].demand = HOT_RATE * HOT_SHARE;
                fleet.run(Duration::from_secs(8));
                fleet.teams[hot].demand = HOT_RATE * USED_SHARE;
                fleet.run(Duration::from_secs(10));
                assert_bound(&fleet);
                println!("seed {seed}: sent {:?} {:?}", fleet.sent, fleet.sent_bytes);
                tally.add(&fleet);
                // Above its allowance, the team gets what it is allowed.
                let served = fleet.teams[hot].admitted.len() as f64;
                let due = f64::from(fleet.teams[hot].due);
                assert!(served > HOT_SERVED_MIN * due, "{served} of {due}");
            }
            tally.assert_small(stringify!($name));
        }
    )+};
}

loads! {
    one_home: 1 homes, clumps of 1;
    three_homes: 3 homes, clumps of 1;
    six_homes: 6 homes, clumps of 1;
    twenty_homes: 20 homes, clumps of 1;
    one_home_in_clumps: 1 homes, clumps of 4;
    three_homes_in_clumps: 3 homes, clumps of 4;
    six_homes_in_clumps: 6 homes, clumps of 4;
    twenty_homes_in_clumps: 20 homes, clumps of 4;
}

#[test]
fn callers_of_one_team_all_use_one_home() {
    let mut tally = Tally::default();
    for seed in 0..SEEDS {
        let mut fleet = settled_fleet(20, 1, seed);
        fleet.teams[1].only = Some(7);
        fleet.run(Duration::from_secs(30));
        assert_bound(&fleet);
        tally.add(&fleet);
    }
    tally.assert_small("callers_of_one_team_all_use_one_home");
}

#[test]
fn callers_are_told_to_come_back_one_after_the_other() {
    let mut fleet = settled_fleet(6, 1, 1);
    let hot = fleet.add_team(HOT_RATE, USED_SHARE, 1);
    fleet.run(Duration::from_secs(5));
    fleet.retries.clear();
    fleet.teams[hot].demand = HOT_RATE * 2.0;
    fleet.run(Duration::from_secs(4));
    let mut retries = fleet.retries.clone();
    retries.sort();
    let distinct = {
        let mut millis: Vec<u128> = retries.iter().map(Duration::as_millis).collect();
        millis.dedup();
        millis.len()
    };
    println!(
        "{} refused, {distinct} delays, {:?}",
        retries.len(),
        retries.last()
    );
    assert!(distinct * 2 > retries.len());
}
