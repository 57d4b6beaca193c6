//! Which home each instance leases its part to.

use std::collections::BTreeMap;
use std::collections::HashSet;

use wb_types::id::InstanceName;
use wb_types::rendezvous;

/// Names of the instances that a home asks for their parts, itself excluded.
///
/// Homes keep their own parts. Every other instance leases to the home of highest rendezvous weight
/// that has not got its equal share yet, so that evenly spread callers find even parts, and a change
/// of one home moves few.
pub fn assigned_to(
    home: &InstanceName,
    homes: &[InstanceName],
    members: &[InstanceName],
) -> Vec<InstanceName> {
    if homes.is_empty() {
        return Vec::new();
    }
    let others = members_in_order(homes, members);
    let share = others.len() / homes.len();
    let mut larger_shares = others.len() % homes.len();
    let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    let mut assigned = Vec::new();
    for member in others {
        let most = share + usize::from(larger_shares > 0);
        let open = homes
            .iter()
            .filter(|home| counts.get(home).is_none_or(|count| *count < most));
        let Some(chosen) = open.max_by_key(|home| rendezvous::weight(member, home)) else {
            continue;
        };
        let count = counts.entry(chosen).or_default();
        *count += 1;
        larger_shares -= usize::from(*count > share);
        if chosen == home {
            assigned.push(member.clone());
        }
    }
    assigned
}

/// Instances that are no homes, in an order that all agree on and that doesn't follow their names.
fn members_in_order<'a>(
    homes: &[InstanceName],
    members: &'a [InstanceName],
) -> Vec<&'a InstanceName> {
    let homes: HashSet<&InstanceName> = homes.iter().collect();
    let mut others: Vec<&InstanceName> = members
        .iter()
        .filter(|member| !homes.contains(member))
        .collect();
    others.sort_by_cached_key(|member| (rendezvous::weight("", member), (*member).clone()));
    others
}
