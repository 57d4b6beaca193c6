//! Successors of an instance that leaves.

use wb_types::rendezvous::weight;
use wb_types::roster::Instance;

/// Instances that may take over what a leaving instance holds, in order of preference.
pub fn successors(leaving: &str, live: &[Instance], count: usize) -> Vec<Instance> {
    let mut others: Vec<&Instance> = live
        .iter()
        .filter(|instance| &*instance.name != leaving)
        .collect();
    others.sort_by_key(|other| std::cmp::Reverse(weight(leaving, &other.name)));
    others.into_iter().take(count).cloned().collect()
}
