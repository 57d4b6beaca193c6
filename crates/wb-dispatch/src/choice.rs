//! Which server, and which other home.

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::policy::Candidate;

/// What nearness is worth, as a share of a server's slots.
pub const SAME_DOMAIN_BONUS: f32 = 0.15;

/// Score of a server: the share of its slots that are free, and its nearness.
pub fn score(free: u32, slots: u32, near: bool) -> f32 {
    let share = free as f32 / slots.max(1) as f32;
    if near {
        share + SAME_DOMAIN_BONUS
    } else {
        share
    }
}

/// Index of the best score; ties are broken at random.
pub fn highest_score(
    scores: impl Iterator<Item = f32> + Clone,
    rng: &mut impl Rng,
) -> Option<usize> {
    let top = scores.clone().max_by(f32::total_cmp)?;
    let ties = scores.enumerate().filter(|(_, score)| *score >= top);
    ties.map(|(index, _)| index).choose(rng)
}

/// Index of the better of two candidates drawn at random. What is known of other homes is stale;
/// drawing two keeps all homes from running to the same one.
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
