//! Cost of state, messages and decisions at several sizes.
//!
//! `docs/CAPACITY.md` is based on this output.

mod daemon;
mod decision;
mod placement;
mod state;

use std::path::Path;

/// Runs all measurements and prints them.
///
/// # Errors
///
/// When a fleet does not start, or the metrics of an instance can't be read.
pub async fn run(example: &Path, out: &Path) -> eyre::Result<()> {
    decision::run();
    placement::run();
    state::run();
    daemon::run(example, out).await
}
