//! Measures what a home holds and spends, by teams and instances: the slopes of `docs/CAPACITY.md`.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use wb_allowance::Credit;
use wb_allowance::Lease;
use wb_allowance::Ledger;
use wb_allowance::Tolerance;
use wb_allowance::account::Account;
use wb_allowance::ledger::Identity;
use wb_team::Allowance;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::TeamName;

const ROUNDS: u32 = 20;
const DECISIONS: u32 = 100_000;
const START: Moment = Duration::from_secs(100);

fn ledger(teams: usize, members: usize, homes: usize) -> Ledger {
    let identity = Identity {
        name: "front-0".into(),
        incarnation: 1,
        first_start: true,
    };
    let tolerance = Tolerance {
        window: Duration::from_secs(5),
        overshoot: 0.1,
        extra: 20.0,
    };
    let mut ledger = Ledger::new(identity, tolerance, START);
    set_teams(&mut ledger, teams);
    set_fleet(&mut ledger, members, homes);
    ledger
}

fn set_teams(ledger: &mut Ledger, count: usize) {
    let names: Vec<TeamName> = (0..count)
        .map(|index| format!("team-{index}").into())
        .collect();
    let allowance = Allowance {
        rate: 10.0,
        burst: 10.0,
    };
    ledger.set_teams(names.iter().map(|name| (name, allowance)), START);
}

fn set_fleet(ledger: &mut Ledger, members: usize, homes: usize) {
    let names: Vec<InstanceName> = (0..members)
        .map(|index| format!("front-{index}").into())
        .collect();
    ledger.set_fleet(names.clone(), &names[..homes], START);
}

fn mean(rounds: u32, mut run: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    (0..rounds).for_each(&mut run);
    start.elapsed() / rounds
}

fn main() {
    println!("a team: {} bytes without its name", size_of::<Account>());
    for teams in [77, 1_000, 10_000, 28_000] {
        let mut ledger = ledger(teams, 100, 10);
        let version = mean(ROUNDS, |_| set_teams(&mut ledger, teams));
        let sweep = mean(ROUNDS, |round| {
            let lease = Lease {
                from: "front-50".into(),
                incarnation: 1,
                holder: 1,
                sent: START + Duration::from_millis(u64::from(round)),
                lasts: wb_allowance::lease_time(100),
                is_leased: true,
                part: 0.001 + f64::from(round) * 0.000_1,
                credit: Credit::None,
            };
            ledger.handle_lease(&lease, lease.sent + Duration::from_millis(1));
        });
        let decision = mean(DECISIONS, |round| {
            let now = START + Duration::from_micros(u64::from(round));
            black_box(ledger.admit("team-7", now));
            ledger.take_questions();
        });
        println!(
            "{teams} teams: new version {version:?}, new part {sweep:?}, decision {decision:?}"
        );
    }
    for (members, homes) in [(40, 6), (100, 12), (450, 20), (450, 100)] {
        let mut ledger = ledger(77, members, homes);
        let change = mean(ROUNDS, |round| {
            set_fleet(&mut ledger, members - (round % 2) as usize, homes);
        });
        let (offer, targets) = ledger.tick(START);
        let bytes = postcard::to_stdvec(&offer).map_or(0, |bytes| bytes.len());
        println!(
            "{members} instances, {homes} homes: new fleet {change:?}, {} offers of {bytes} bytes",
            targets.len()
        );
    }
}
