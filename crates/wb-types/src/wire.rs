//! Compatibility of messages between instances of different builds.

use serde::Deserialize;
use serde::Deserializer;

/// Deserializes the last field of a message, which older builds don't send: the default if it is
/// missing.
///
/// # Errors
///
/// None: what can't be decoded counts as missing.
pub fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
