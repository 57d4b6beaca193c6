//! Choice among backend servers and among other homes.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::policy::Candidate;

/// Score bonus of a server in the instance's failure domain, as a share of the server's slots.
pub const SAME_DOMAIN_BONUS: f32 = 0.15;

/// Score of a server: the share of its slots that are free, plus a bonus in the same failure
/// domain.
pub fn score(free: u32, slots: u32, same_domain: bool) -> f32 {
    let share = free as f32 / slots.max(1) as f32;
    if same_domain {
        share + SAME_DOMAIN_BONUS
    } else {
        share
    }
}

/// Index of the highest score; ties are broken at random.
pub fn highest_score(
    scores: impl Iterator<Item = f32> + Clone,
    rng: &mut impl Rng,
) -> Option<usize> {
    let top = scores.clone().max_by(f32::total_cmp)?;
    let ties = scores.enumerate().filter(|(_, score)| *score >= top);
    ties.map(|(index, _)| index).choose(rng)
}

/// Index of the better of two candidates drawn at random. The load known of other homes is stale;
/// drawing two keeps all homes from choosing the same one.
pub fn better_of_two_random(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let a = rng.random_range(0..candidates.len());
    let b = rng.random_range(0..candidates.len());
    if candidates[b].score > candidates[a].score {
        Some(b)
    } else {
        Some(a)
    }
}
