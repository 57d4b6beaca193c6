//! A small fleet of real processes on this machine.

mod control;
mod start;

use std::path::PathBuf;
use std::process::Child;

use wb_types::roster::Roster;

use crate::deploy::Deployment;

pub use control::Usage;
pub use control::stats;
pub use start::Options;

/// Bearer token of the operators' API.
pub const OPERATORS_TOKEN: &str = "operators-token";
/// Token of requests forwarded between instances.
const PEERS_TOKEN: &str = "peers-token";

/// Processes of a running fleet. Dropping it kills them.
pub struct Fleet {
    /// Deployment that the fleet was started from.
    pub deployment: Deployment,
    /// The platform's roster at the start, with the links' addresses if links are used.
    pub roster: Roster,
    options: Options,
    folder: PathBuf,
    stand_ins: Vec<Child>,
    entries: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let entries = self.entries.iter_mut().flatten();
        for child in entries.chain(&mut self.stand_ins) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
