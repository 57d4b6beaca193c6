//! Rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a candidate for a subject; the candidate with the highest weight is chosen.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}
