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
    let others = members_in_order(homes, members);
    let share = others.len().div_ceil(homes.len().max(1));
    let mut counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    let mut assigned = Vec::new();
    for member in others {
        let open = homes
            .iter()
            .filter(|home| counts.get(home).is_none_or(|count| *count < share));
        let Some(chosen) = open.max_by_key(|home| rendezvous::weight(member, home)) else {
            continue;
        };
        *counts.entry(chosen).or_default() += 1;
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
