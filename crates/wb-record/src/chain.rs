//! Verification of the hash chain of batches.

use std::fmt;

use crate::Batch;

/// Why a sequence of batches is not a valid chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChainError {
    /// The object at this index is not a batch.
    Malformed(usize),
    /// The batch with this number is missing.
    Missing(u64),
    /// The batch with this number does not hold the digest of its predecessor.
    Broken(u64),
}

impl fmt::Display for ChainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(index) => write!(f, "object {index} is no batch"),
            Self::Missing(number) => write!(f, "batch {number} is missing"),
            Self::Broken(number) => write!(f, "batch {number} does not follow from the one before"),
        }
    }
}

/// Parses the batches of one process, in order from the first, and verifies their chain.
///
/// # Errors
///
/// The first error in the chain.
pub fn verify(texts: &[String]) -> Result<Vec<Batch>, ChainError> {
    let mut batches: Vec<Batch> = Vec::new();
    let mut expected = String::new();
    for (index, text) in texts.iter().enumerate() {
        let batch: Batch = serde_json::from_str(text).map_err(|_| ChainError::Malformed(index))?;
        let number = index as u64;
        if batch.number != number {
            return Err(ChainError::Missing(number));
        }
        if batch.before != expected {
            return Err(ChainError::Broken(number));
        }
        expected = Batch::digest(text);
        batches.push(batch);
    }
    Ok(batches)
}
