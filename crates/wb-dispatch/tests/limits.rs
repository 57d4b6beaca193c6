//! Shares of a row's limits among several homes, with uneven demand and homes without connection;
//! token buckets and budgets.

use std::time::Duration;

use wb_dispatch::budget::Budget;
use wb_dispatch::limit::OtherHome;
use wb_dispatch::limit::TokenBucket;
use wb_dispatch::limit::next_share;

/// Shares of the homes after a number of rounds of load exchange. The homes in `cut` neither send
/// nor receive reports.
fn shares(demands: &[f64], cut: &[usize], rounds: usize) -> Vec<f64> {
    let count = demands.len();
    let mut shares = vec![1.0 / count as f64; count];
    for _ in 0..rounds {
        for home in 0..count {
            let others: Vec<OtherHome> = (0..count)
                .filter(|other| *other != home)
                .map(|other| OtherHome {
                    demand: demands[other],
                    share: if cut.contains(&other) || cut.contains(&home) {
                        1.0 / count as f64
                    } else {
                        shares[other]
                    },
                    fresh: !cut.contains(&other) && !cut.contains(&home),
                })
                .collect();
            shares[home] = next_share(demands[home], count, &others);
        }
    }
    shares
}

macro_rules! limits {
    ($($name:ident: $demands:expr, $cut:expr, at_least $used:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let shares = shares(&$demands, &$cut, 50);
                let total: f64 = shares.iter().sum();
                assert!(total <= 1.0 + 1e-9, "{shares:?}");
                // Fraction of the limit that all homes use together, with a total demand of twice
                // the limit.
                let all: f64 = $demands.iter().sum();
                let used: f64 = shares
                    .iter()
                    .zip($demands)
                    .map(|(share, demand)| share.min(2.0 * demand / all))
                    .sum();
                assert!(used >= $used, "{used} of the limit with {shares:?}");
            }
        )*
    };
}

limits! {
    even_demand: [100.0, 100.0, 100.0], [], at_least 0.95;
    uneven_demand: [1000.0, 10.0, 10.0], [], at_least 0.9;
    demand_at_one_home: [1000.0, 0.0, 0.0], [], at_least 0.9;
    one_home_cut_off: [100.0, 100.0, 100.0], [2], at_least 0.95;
    busy_home_cut_off: [1000.0, 10.0, 10.0], [0], at_least 0.3;
}

#[test]
fn idle_home_can_admit_a_burst() {
    let shares = shares(&[0.1, 0.0, 0.05], &[], 50);
    assert!(shares.iter().all(|share| *share > 0.25), "{shares:?}");
    assert!(shares.iter().sum::<f64>() <= 1.0 + 1e-9, "{shares:?}");
}

#[test]
fn token_bucket_enforces_its_rate() {
    let mut bucket = TokenBucket::default();
    let taken = (0..100_000u64)
        .filter(|tick| bucket.try_take(50.0, Duration::from_micros(tick * 100)))
        .count();
    assert!(
        (500..=506).contains(&taken),
        "{taken} tokens in 10 s at 50 a second"
    );
}

#[test]
fn budget_limits_retries_to_its_ratio() {
    let mut budget = Budget::new(0.1, 10.0);
    let mut extra = 0;
    for _ in 0..10_000 {
        budget.record_request();
        while budget.try_spend() {
            extra += 1;
        }
    }
    assert!(extra <= 1010, "{extra} retries of 10000 requests");
}
