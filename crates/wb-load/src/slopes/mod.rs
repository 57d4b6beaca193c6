//! What state, messages and decisions cost, at several sizes.
//!
//! The output is what `docs/CAPACITY.md` is worked out from.

mod daemon;
mod decide;
mod place;
mod state;

use std::path::Path;

/// Measures all slopes and prints them.
///
/// # Errors
///
/// When a fleet does not start.
pub async fn run(example: &Path, out: &Path) -> eyre::Result<()> {
    decide::run();
    place::run();
    state::run();
    daemon::run(example, out).await
}
