//! Limits that servers name: their values, and which of two observations is the newer one.

use std::time::Duration;

use wb_balance::limit::KnownLimit;
use wb_balance::limit::Observation;
use wb_balance::limit::Rate;
use wb_balance::limit::parse;

macro_rules! parse_cases {
    ($($name:ident: $values:expr => $parsed:expr;)*) => {$(
        #[test]
        fn $name() {
            let parsed = parse($values.into_iter()).map_err(|err| err.0);
            assert_eq!(parsed, $parsed.map_err(str::to_owned));
        }
    )*};
}

parse_cases! {
    no_value_is_no_limit: [] => Ok(None);
    whole_number: ["3"] => Ok(Some(3.0));
    fraction: ["1.6"] => Ok(Some(1.6));
    zero: ["0"] => Ok(Some(0.0));
    huge_number: ["1e300"] => Ok(Some(1e300));
    spaces_are_ignored: [" 2 "] => Ok(Some(2.0));
    lowest_of_several_lines: ["4", "2"] => Ok(Some(2.0));
    lowest_of_a_list: ["4, 2.5"] => Ok(Some(2.5));
    valid_value_beside_an_invalid_one: ["x", "2"] => Ok(Some(2.0));
    negative_number: ["-1"] => Err("-1");
    infinity: ["inf"] => Err("inf");
    overflow: ["1e999"] => Err("1e999");
    not_a_number: ["NaN"] => Err("NaN");
    empty_value: [""] => Err("");
    words: ["none"] => Err("none");
}

fn observed(limit: Option<Rate>, sent: u64, seen: u64) -> Observation {
    Observation {
        limit,
        sent: Duration::from_millis(sent),
        seen: Duration::from_millis(seen),
    }
}

/// Applies observations in this order, and returns the limit that is known then.
fn known_after(observations: &[Observation]) -> Option<Rate> {
    let mut known = KnownLimit::default();
    for observation in observations {
        known.observe(*observation);
    }
    known.rate()
}

macro_rules! order_cases {
    ($($name:ident: [$(($limit:expr, $sent:expr, $seen:expr)),*] => $known:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(known_after(&[$(observed($limit, $sent, $seen)),*]), $known);
        }
    )*};
}

order_cases! {
    first_named_limit_is_taken: [(Some(1.0), 0, 100)] => Some(1.0);
    response_to_an_earlier_request_does_not_lift_it:
        [(Some(1.0), 0, 100), (None, 90, 300)] => Some(1.0);
    response_to_a_later_request_lifts_it: [(Some(1.0), 0, 100), (None, 110, 300)] => None;
    lower_limit_takes_effect_at_once:
        [(Some(4.0), 0, 100), (Some(2.0), 50, 110)] => Some(2.0);
    higher_limit_of_an_earlier_request_is_ignored:
        [(Some(2.0), 50, 110), (Some(4.0), 60, 120)] => Some(2.0);
    higher_limit_of_a_later_request_is_taken:
        [(Some(2.0), 50, 110), (Some(4.0), 120, 150)] => Some(4.0);
    repeated_limit_counts_as_the_newest:
        [(Some(1.0), 0, 100), (Some(1.0), 50, 200), (None, 150, 300)] => Some(1.0);
    limit_seen_before_it_was_lifted_is_ignored:
        [(Some(1.0), 0, 100), (None, 200, 300), (Some(1.0), 0, 150)] => None;
    limit_is_named_again: [(Some(1.0), 0, 100), (None, 200, 300), (Some(1.0), 250, 400)] => Some(1.0);
}
