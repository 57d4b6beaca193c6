//! Homes of a service.

use std::collections::BTreeMap;

use wb_types::rendezvous::weight;
use wb_types::roster::Instance;

/// The homes of a service: the `count` instances of highest weight in each failure domain.
pub fn homes(service: &str, live: &[Instance], count: usize) -> Vec<Instance> {
    let mut domains: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
    for instance in live {
        domains.entry(&instance.domain).or_default().push(instance);
    }
    let mut homes = Vec::new();
    for mut members in domains.into_values() {
        members.sort_by_key(|member| std::cmp::Reverse(weight(service, &member.name)));
        homes.extend(members.into_iter().take(count).cloned());
    }
    homes
}
