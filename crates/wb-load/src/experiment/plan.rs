//! Experiment files.

use std::path::Path;
use std::path::PathBuf;

use eyre::Context;
use serde::Deserialize;
use serde::Serialize;
use wb_stand::backend::Knobs;

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name.
    pub name: String,
    /// Folder of the deployment.
    pub example: PathBuf,
    /// Entry processes.
    pub entries: usize,
    /// Homes of each service in each failure domain.
    #[serde(default = "one")]
    pub homes: usize,
    /// Seed of arrivals and sizes.
    pub seed: u64,
    /// Length, in seconds.
    pub seconds: f64,
    /// Loads.
    pub loads: Vec<Load>,
    /// Times of higher demand.
    #[serde(default)]
    pub swings: Vec<Swing>,
    /// Faults on the time line.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn one() -> usize {
    1
}

/// A stream of requests with random arrivals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Class.
    pub class: String,
    /// Key of the caller.
    pub key: String,
    /// Requests per second.
    pub rate: f64,
    /// Mean time of work, in milliseconds.
    pub work_ms: f64,
    /// Whether the time of work is the same for all; else it is drawn exponentially.
    #[serde(default)]
    pub steady: bool,
    /// Share of requests that take `long_ms`.
    #[serde(default)]
    pub long: f64,
    /// Time of work of those, in milliseconds.
    #[serde(default)]
    pub long_ms: f64,
    /// Size of the body, in bytes; a request with one is an upload.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether the load follows the swings.
    #[serde(default)]
    pub swings: bool,
    /// Whether the callers know only the first third of the instances and ask for no addresses.
    #[serde(default)]
    pub uneven: bool,
}

/// A time of higher demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Start, in seconds.
    pub from: f64,
    /// End, in seconds.
    pub to: f64,
    /// Factor on the rate.
    pub factor: f64,
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time, in seconds.
    pub at: f64,
    /// What happens.
    pub act: Act,
    /// Backend server, as `service/server`, or `service/*`; for `server`.
    #[serde(default)]
    pub server: String,
    /// Its knobs; for `server`.
    #[serde(default)]
    pub knobs: Knobs,
    /// Entry processes, by index, or all of a failure domain; for the others.
    #[serde(default)]
    pub entries: Vec<usize>,
}

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Sets a backend server's knobs.
    Server,
    /// Kills entry processes.
    Kill,
    /// Starts them again.
    Start,
    /// Pauses them.
    Stop,
    /// Lets them go on.
    Cont,
    /// Asks them to leave and starts them again, one after another.
    Roll,
}

impl Plan {
    /// Reads an experiment file.
    ///
    /// # Errors
    ///
    /// When the file can't be read or is malformed.
    pub fn read(file: &Path) -> eyre::Result<Self> {
        let name = file.display();
        let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{name}"))?;
        marked_yaml::from_yaml(0, &text).wrap_err_with(|| format!("{name} is malformed"))
    }

    /// Factor on the demand at a time, in seconds.
    pub fn factor(&self, at: f64) -> f64 {
        let swing = self
            .swings
            .iter()
            .find(|swing| at >= swing.from && at < swing.to);
        swing.map_or(1.0, |swing| swing.factor)
    }
}
