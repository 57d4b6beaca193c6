//! Rests of connections, against servers that forget them and servers that are sick.

use std::collections::HashSet;
use std::time::Duration;

use wb_balance::IdleLimits;
use wb_balance::idle::ResetCause;
use wb_types::id::ServerName;

const MS: Duration = Duration::from_millis(1);
/// Servers that are played.
const SERVERS: u32 = 50;

/// What is wrong with a part of the servers.
#[derive(Clone, Copy)]
enum Wrong {
    /// They forget connections after a rest.
    Forget(Duration),
    /// They reset every other request, whatever the connection.
    Sick,
}

/// What came of 6,000 sends, every third of which could be repeated.
#[derive(Debug, Default)]
struct Played {
    /// Orders that met a reset on a used connection.
    lost: u32,
    /// Orders on a used connection.
    reused: u32,
    /// Orders for which there was a connection that was not too old for others.
    offered: u32,
}

/// Plays sends on connections that rested up to 4 s, a hundred a second. From `percent` of the
/// servers, something is wrong from the first second on.
fn play(wrong: Wrong, percent: u32) -> Played {
    let mut rests = IdleLimits::default();
    let mut played = Played::default();
    // Servers whose other connections were closed after a reset.
    let mut closed = HashSet::new();
    for send in 0..6000u32 {
        let now = MS * (send * 10);
        let index = send * 7 % SERVERS;
        let server = ServerName::from(format!("s{index}"));
        let rest = MS * (send * 619 % 4000);
        let order = send % 3 != 0;
        let bad = send > 100 && index * 100 < percent * SERVERS;
        let used = !closed.remove(&index) && rest <= rests.limit(!order);
        let reset = bad
            && match wrong {
                Wrong::Forget(after) => used && rest > after,
                Wrong::Sick => (send.wrapping_mul(2_654_435_761) >> 16).is_multiple_of(2),
            };
        played.offered += u32::from(order);
        if !used {
            if let Some(cause) = rests.explain_reset(&server, !reset) {
                rests.apply_cause(cause, now);
            }
            continue;
        }
        played.reused += u32::from(order);
        if reset {
            rests.record_reset(&server, rest, now);
            closed.insert(index);
            played.lost += u32::from(order);
        } else {
            rests.record_reuse(rest);
        }
    }
    played
}

macro_rules! rests {
    ($($name:ident: $wrong:expr, $percent:literal, lost $lost:expr, reused $reused:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let played = play($wrong, $percent);
                assert!($lost.contains(&(played.lost * 100 / played.offered)), "{played:?}");
                assert!($reused.contains(&(played.reused * 100 / played.offered)), "{played:?}");
            }
        )*
    };
}

// Lost and reused are percentages of all orders. Without a rule on rests, half of the orders go out
// on used connections, and with half of the servers forgetting, a fifth are lost.
rests! {
    nothing_wrong: Wrong::Sick, 0, lost 0..=0, reused 40..=100;
    half_forget_soon: Wrong::Forget(300 * MS), 50, lost 0..=2, reused 2..=30;
    a_tenth_forget_soon: Wrong::Forget(300 * MS), 10, lost 0..=2, reused 2..=60;
    a_tenth_are_sick: Wrong::Sick, 10, lost 0..=100, reused 40..=100;
}

#[test]
fn told_causes_count_like_own() {
    let mut rests = IdleLimits::default();
    for _ in 0..4 {
        rests.apply_cause(ResetCause::Idle(400 * MS), MS);
    }
    assert_eq!(rests.limit(false), 200 * MS);
}

#[test]
fn sick_servers_end_no_reuse() {
    let mut rests = IdleLimits::default();
    for _ in 0..20 {
        rests.apply_cause(ResetCause::Idle(400 * MS), MS);
        rests.apply_cause(ResetCause::Server, MS);
    }
    assert!(rests.limit(false) > 400 * MS);
}
