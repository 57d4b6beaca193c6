//! Experiment files (YAML).

use std::path::Path;
use std::path::PathBuf;

use eyre::Context;
use serde::Deserialize;
use serde::Serialize;
use wb_stand::backend::ServerFaults;

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the experiment and of its output folder.
    pub name: String,
    /// Folder with the deployment, policy table and callers.
    pub example: PathBuf,
    /// Number of entry processes.
    pub entries: usize,
    /// Homes of each service in each failure domain.
    #[serde(default = "one")]
    pub homes: usize,
    /// Seed of arrival and processing times.
    pub seed: u64,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Request streams that run at the same time.
    pub loads: Vec<Load>,
    /// Periods of changed demand; the first one that covers a time applies.
    #[serde(default)]
    pub swings: Vec<Swing>,
    /// Faults to inject, in the order of their times.
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
    /// Name of the load, also the first segment of its paths.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Class of the requests.
    pub class: String,
    /// Key of the caller that sends the requests.
    pub key: String,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Mean processing time at the backend server, in milliseconds.
    pub work_ms: f64,
    /// Whether every request takes `work_ms`; otherwise the times are exponentially distributed.
    #[serde(default)]
    pub steady: bool,
    /// Fraction of requests that take `long_ms` instead.
    #[serde(default)]
    pub long: f64,
    /// Processing time of long requests, in milliseconds.
    #[serde(default)]
    pub long_ms: f64,
    /// Size of the request body, in bytes; if above 0 the requests are uploads.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether the rate follows `Plan::swings`.
    #[serde(default)]
    pub swings: bool,
    /// Whether the callers know only the first third of the instances and send to them directly,
    /// without address discovery.
    #[serde(default)]
    pub uneven: bool,
}

/// A period in which the rate of loads is multiplied by a factor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Start, in seconds from the start of the load.
    pub from: f64,
    /// End, in seconds from the start of the load.
    pub to: f64,
    /// Factor by which rates are multiplied.
    pub factor: f64,
}

/// A fault to inject at a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time, in seconds from the start of the load.
    pub at: f64,
    /// Kind of fault.
    #[serde(rename = "act")]
    pub kind: FaultKind,
    /// Backend server as `service/server`, or `service/*` for all of a service; only for `server`.
    #[serde(default)]
    pub server: String,
    /// Faults of the backend server; only for `server`.
    #[serde(default)]
    #[serde(rename = "knobs")]
    pub server_faults: ServerFaults,
    /// Indexes of the entry processes; for all kinds but `server`.
    #[serde(default)]
    pub entries: Vec<usize>,
}

/// Kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Sets the faults of a backend server.
    Server,
    /// Kills entry processes with SIGKILL.
    Kill,
    /// Starts killed entry processes again.
    Start,
    /// Pauses entry processes with SIGSTOP.
    Stop,
    /// Resumes paused entry processes with SIGCONT.
    Cont,
    /// Shuts entry processes down gracefully and restarts them, one after another.
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

    /// Returns the factor on the rate at a time, in seconds from the start of the load.
    pub fn demand_factor(&self, at: f64) -> f64 {
        let swing = self
            .swings
            .iter()
            .find(|swing| at >= swing.from && at < swing.to);
        swing.map_or(1.0, |swing| swing.factor)
    }
}
