//! Idle limits of connections, with servers that drop idle connections and servers that fail.

use std::collections::HashSet;
use std::time::Duration;

use wb_balance::IdleLimits;
use wb_balance::idle::ResetCause;
use wb_types::id::ServerName;

const MS: Duration = Duration::from_millis(1);
/// Number of simulated servers.
const SERVERS: u32 = 50;

/// The fault of a part of the servers.
#[derive(Clone, Copy)]
enum Fault {
    /// They drop connections that were idle for longer.
    DropIdle(Duration),
    /// They reset every other request on any connection.
    Failing,
}

/// Counts of 6,000 sends, every third of which was idempotent.
#[derive(Debug, Default)]
struct Counts {
    /// Non-idempotent sends that were reset on a reused connection.
    lost: u32,
    /// Non-idempotent sends on a reused connection.
    reused: u32,
    /// Non-idempotent sends in all.
    sent: u32,
}

/// Simulates 100 sends a second on connections that were idle for up to 4 s. `percent` of the
/// servers have the fault from the first second on.
fn simulate(fault: Fault, percent: u32) -> Counts {
    let mut limits = IdleLimits::default();
    let mut counts = Counts::default();
    // Servers whose other connections were closed after a reset.
    let mut closed = HashSet::new();
    for send in 0..6000u32 {
        let now = MS * (send * 10);
        let index = send * 7 % SERVERS;
        let server = ServerName::from(format!("s{index}"));
        let idle = MS * (send * 619 % 4000);
        let once = send % 3 != 0;
        let faulty = send > 100 && index * 100 < percent * SERVERS;
        let used = !closed.remove(&index) && idle <= limits.limit(!once);
        let reset = faulty
            && match fault {
                Fault::DropIdle(after) => used && idle > after,
                Fault::Failing => (send.wrapping_mul(2_654_435_761) >> 16).is_multiple_of(2),
            };
        counts.sent += u32::from(once);
        if !used {
            if let Some(cause) = limits.explain_reset(&server, !reset) {
                limits.apply_cause(cause, now);
            }
            continue;
        }
        counts.reused += u32::from(once);
        if reset {
            limits.record_reset(&server, idle, now);
            closed.insert(index);
            counts.lost += u32::from(once);
        } else {
            limits.record_reuse(idle);
        }
    }
    counts
}

macro_rules! idle_limits {
    ($($name:ident: $fault:expr, $percent:literal, lost $lost:expr, reused $reused:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let counts = simulate($fault, $percent);
                assert!($lost.contains(&(counts.lost * 100 / counts.sent)), "{counts:?}");
                assert!($reused.contains(&(counts.reused * 100 / counts.sent)), "{counts:?}");
            }
        )*
    };
}

// Lost and reused are percentages of all non-idempotent sends. Without an idle limit, half of these
// sends reuse a connection, and with half of the servers dropping connections, a fifth are lost.
idle_limits! {
    no_fault: Fault::Failing, 0, lost 0..=0, reused 40..=100;
    half_drop_idle_connections: Fault::DropIdle(300 * MS), 50, lost 0..=2, reused 2..=30;
    a_tenth_drop_idle_connections: Fault::DropIdle(300 * MS), 10, lost 0..=2, reused 2..=60;
    a_tenth_fail: Fault::Failing, 10, lost 0..=100, reused 40..=100;
}

#[test]
fn reported_causes_lower_the_limit() {
    let mut limits = IdleLimits::default();
    for _ in 0..4 {
        limits.apply_cause(ResetCause::Idle(400 * MS), MS);
    }
    assert_eq!(limits.limit(false), 200 * MS);
}

#[test]
fn failing_servers_do_not_lower_the_limit() {
    let mut limits = IdleLimits::default();
    for _ in 0..20 {
        limits.apply_cause(ResetCause::Idle(400 * MS), MS);
        limits.apply_cause(ResetCause::Server, MS);
    }
    assert!(limits.limit(false) > 400 * MS);
}
