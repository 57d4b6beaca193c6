//! A small fleet of real processes.

mod control;
mod start;

use std::path::PathBuf;
use std::process::Child;

use wb_types::roster::Roster;

use crate::deploy::Deployment;

pub use control::Usage;
pub use control::stats;
pub use start::Options;

/// Token of the operators' calls.
pub const OPERATORS_TOKEN: &str = "operators-token";
/// Token of work passed on.
const PEERS_TOKEN: &str = "peers-token";

/// Processes of a fleet; they end when it is dropped.
pub struct Fleet {
    /// What is deployed.
    pub deployment: Deployment,
    /// The platform's list at the start.
    pub roster: Roster,
    options: Options,
    folder: PathBuf,
    stands: Vec<Child>,
    entries: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().flatten();
        for child in entries.chain(&mut self.stands) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
