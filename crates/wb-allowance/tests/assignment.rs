//! Which home each instance leases its part to.

use wb_allowance::assignment::assigned_to;
use wb_types::id::InstanceName;

fn names(range: std::ops::Range<usize>) -> Vec<InstanceName> {
    range.map(|index| format!("front-{index}").into()).collect()
}

macro_rules! shares {
    ($($name:ident: $members:literal instances, $homes:literal homes;)+) => {$(
        #[test]
        fn $name() {
            let members = names(0..$members);
            let homes = names(0..$homes);
            let mut all: Vec<InstanceName> = Vec::new();
            for home in &homes {
                let assigned = assigned_to(home, &homes, &members);
                let even = ($members - $homes) / $homes;
                assert!((even..=even + 1).contains(&assigned.len()), "{}", assigned.len());
                all.extend(assigned);
            }
            all.sort();
            let mut others = names($homes..$members);
            others.sort();
            assert_eq!(all, others);
        }
    )+};
}

shares! {
    one_home: 40 instances, 1 homes;
    three_homes: 40 instances, 3 homes;
    twelve_homes: 103 instances, 12 homes;
    all_are_homes: 12 instances, 12 homes;
    many: 450 instances, 100 homes;
}

#[test]
fn no_homes_ask_for_nothing() {
    assert!(assigned_to(&"front-0".into(), &[], &names(0..4)).is_empty());
}

#[test]
fn a_home_that_goes_moves_few_others() {
    let members = names(0..103);
    let before = names(0..12);
    let after = names(0..11);
    let mut moved = 0;
    for home in &after {
        let kept = assigned_to(home, &before, &members);
        let now = assigned_to(home, &after, &members);
        moved += kept.iter().filter(|one| !now.contains(one)).count();
    }
    println!("{moved} moved");
    assert!(moved <= 103 / 4, "{moved}");
}
