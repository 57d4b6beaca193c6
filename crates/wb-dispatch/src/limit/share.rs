//! The share of a row's rate that one home admits.

/// What another home said last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Other {
    /// Its demand, in requests per second.
    pub demand: f64,
    /// Its share, 0 to 1.
    pub share: f64,
    /// Whether it was heard of late. The share of a silent home stays its own.
    pub heard: bool,
}

/// Smallest share of a home with no demand, as a part of an equal share.
const IDLE_PART: f64 = 0.1;

/// Next share of a home.
///
/// The home aims at its part of the demand. It falls at once, and rises only into what all
/// others have left free, so that the shares add up to 1 at most when every home has heard the
/// others' latest shares.
pub fn next(demand: f64, homes: usize, others: &[Other]) -> f64 {
    let homes = homes.max(1) as f64;
    if others.is_empty() {
        return 1.0 / homes;
    }
    let silent: f64 = others
        .iter()
        .filter(|other| !other.heard)
        .map(|other| other.share)
        .sum();
    let heard: f64 = others
        .iter()
        .filter(|other| other.heard)
        .map(|other| other.demand)
        .sum();
    let idle = IDLE_PART / homes;
    let total = demand + heard;
    let part = if total > 0.0 {
        demand / total
    } else {
        1.0 / homes
    };
    let open = (1.0 - silent).max(0.0);
    let target = (idle + part * (1.0 - IDLE_PART)) * open;
    let taken: f64 = others.iter().map(|other| other.share).sum();
    let room = (1.0 - taken).max(0.0);
    target.min(room)
}
