//! The share of a row's limits that one home admits.

/// Last report of another home for a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OtherHome {
    /// Its demand, as a fraction of the row's limits; may exceed 1.
    pub demand: f64,
    /// Its share of the limits, 0 to 1.
    pub share: f64,
    /// Whether the report is recent. The share of a home without a recent report stays reserved.
    pub fresh: bool,
}

/// Share of a home without demand, as a fraction of an equal share.
const IDLE_SHARE: f64 = 0.1;

/// Next share of a home.
///
/// While the demand of all homes is below the limits, each home gets its demand and an equal part
/// of the rest, so that any home can admit a burst. Above the limits, the target of a home is in
/// proportion to its demand. A share decreases to its target at once, but increases only into what
/// the other homes leave free, so that the shares add up to at most 1 once every home knows the
/// latest shares of the others.
pub fn next_share(demand: f64, homes: usize, others: &[OtherHome]) -> f64 {
    let homes = homes.max(1) as f64;
    if others.is_empty() {
        return 1.0 / homes;
    }
    let reserved: f64 = others
        .iter()
        .filter(|other| !other.fresh)
        .map(|other| other.share)
        .sum();
    let available = (1.0 - reserved).max(0.0);
    let target = target(demand, homes, others, available);
    let others_share: f64 = others.iter().map(|other| other.share).sum();
    let free = (1.0 - others_share).max(0.0);
    target.min(free)
}

/// Target of a home's share. `available` is the part of the limits that is not reserved for homes
/// without a recent report.
fn target(demand: f64, homes: f64, others: &[OtherHome], available: f64) -> f64 {
    let reporting = others.iter().filter(|other| other.fresh);
    let total = demand + reporting.clone().map(|other| other.demand).sum::<f64>();
    if total < available {
        let homes_sharing = 1.0 + reporting.count() as f64;
        return demand + (available - total) / homes_sharing;
    }
    let idle = IDLE_SHARE / homes;
    let fraction = if total > 0.0 { demand / total } else { 0.0 };
    (idle + fraction * (1.0 - IDLE_SHARE)) * available
}
