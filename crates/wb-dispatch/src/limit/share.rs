//! The share of a row's rate that one home admits.

/// What another home said last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OtherHome {
    /// Its demand, as a part of the row's limits.
    pub demand: f64,
    /// Its share, 0 to 1.
    pub share: f64,
    /// Whether it was heard of late. The share of a silent home stays its own.
    pub fresh: bool,
}

/// Smallest share of a home with no demand, as a part of an equal share.
const IDLE_PART: f64 = 0.1;

/// Next share of a home.
///
/// What all ask for is given, and what is left of the limits is shared evenly, so that a burst
/// finds room at any home. Above the limits, a home aims at its part of the demand. It falls at
/// once, and rises only into what all others have left free, so that the shares add up to 1 at
/// most when every home has heard the others' latest shares.
pub fn next_share(demand: f64, homes: usize, others: &[OtherHome]) -> f64 {
    let homes = homes.max(1) as f64;
    if others.is_empty() {
        return 1.0 / homes;
    }
    let silent: f64 = others
        .iter()
        .filter(|other| !other.fresh)
        .map(|other| other.share)
        .sum();
    let open = (1.0 - silent).max(0.0);
    let target = target(demand, homes, others, open);
    let taken: f64 = others.iter().map(|other| other.share).sum();
    let room = (1.0 - taken).max(0.0);
    target.min(room)
}

/// What a home aims at of the part that is open.
fn target(demand: f64, homes: f64, others: &[OtherHome], open: f64) -> f64 {
    let heard = others.iter().filter(|other| other.fresh);
    let total = demand + heard.clone().map(|other| other.demand).sum::<f64>();
    if total < open {
        let sharing = 1.0 + heard.count() as f64;
        return demand + (open - total) / sharing;
    }
    let idle = IDLE_PART / homes;
    let part = if total > 0.0 { demand / total } else { 0.0 };
    (idle + part * (1.0 - IDLE_PART)) * open
}
