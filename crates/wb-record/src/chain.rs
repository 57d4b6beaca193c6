//! Checks that a run of batches is whole.

use std::fmt;

use crate::Batch;

/// Why a run of batches is no proof.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChainError {
    /// A text is no batch.
    Malformed(usize),
    /// A batch does not have the number that follows the one before.
    Missing(u64),
    /// A batch does not hold the digest of the one before.
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

/// Reads batches of one process, in order, and checks the chain.
///
/// # Errors
///
/// The first fault.
pub fn verify(texts: &[String]) -> Result<Vec<Batch>, ChainError> {
    let mut batches: Vec<Batch> = Vec::new();
    let mut before = String::new();
    for (index, text) in texts.iter().enumerate() {
        let batch: Batch = serde_json::from_str(text).map_err(|_| ChainError::Malformed(index))?;
        let number = index as u64;
        if batch.number != number {
            return Err(ChainError::Missing(number));
        }
        if batch.before != before {
            return Err(ChainError::Broken(number));
        }
        before = Batch::digest(text);
        batches.push(batch);
    }
    Ok(batches)
}
