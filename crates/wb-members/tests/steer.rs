//! Which instances are homes, by their CPU share.

use std::time::Duration;

use wb_members::steering::Card;
use wb_members::steering::Options;
use wb_members::steering::Steering;

fn card(index: usize, cores: f32) -> Card {
    Card {
        name: format!("front-{index:03}").into(),
        domain: format!("d{}", index % 3).into(),
        cores,
        callers: format!("10.0.0.{index}:80").parse().expect("an address"),
        peers: format!("10.0.0.{index}:81").parse().expect("an address"),
        incarnation: 1,
    }
}

/// Numbers of large and small homes in a fleet of large and small instances.
fn homes(large: usize, small: usize, need: f32) -> (usize, usize) {
    let sizes = [vec![0.5; large], vec![0.1; small]].concat();
    let mut cards = sizes.iter().enumerate().map(|(i, cores)| card(i, *cores));
    let own = cards.next().expect("an instance");
    let mut steering = Steering::new(Options::default(), own);
    for card in cards {
        steering.add_peer(card, Duration::ZERO);
    }
    steering.set_required_cores(need);
    steering.update_homes(Duration::from_millis(1));
    let chosen = steering.homes().len();
    (chosen.min(large), chosen.saturating_sub(large))
}

macro_rules! home_tests {
    ($($name:ident: $large:literal large, $small:literal small, need $need:literal => $homes:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(homes($large, $small, $need), $homes);
            }
        )*
    };
}

home_tests! {
    equal_instances: 10 large, 0 small, need 3.1 => (7, 0);
    small_instances_are_no_homes_beside_large_ones: 6 large, 112 small, need 3.1 => (6, 0);
    half_of_the_large_instances_are_lost: 3 large, 112 small, need 3.1 => (3, 0);
    small_instances_help_if_the_large_ones_fall_far_short: 1 large, 100 small, need 3.1 => (1, 30);
    small_instances_take_over: 0 large, 112 small, need 3.1 => (0, 31);
    few_cores_required: 6 large, 112 small, need 0.2 => (3, 0);
    fewer_large_instances_than_homes_min: 2 large, 20 small, need 0.2 => (2, 1);
}
