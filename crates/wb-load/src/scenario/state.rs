//! State of a scenario and arguments of its steps.

use std::collections::HashMap;
use std::path::PathBuf;
use std::str::FromStr;

use eyre::OptionExt;
use eyre::eyre;
use tokio::task::JoinHandle;

use crate::caller::RequestOutcome;
use crate::fleet::Fleet;

/// Arguments of a step.
#[derive(Clone, Debug, Default)]
pub struct Arguments {
    values: HashMap<String, Vec<String>>,
}

impl Arguments {
    /// Creates arguments from their values by name.
    pub fn new(values: HashMap<String, Vec<String>>) -> Self {
        Self { values }
    }

    /// Returns whether an argument is given.
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// Returns the first value of an argument.
    ///
    /// # Errors
    ///
    /// When it is missing.
    pub fn text(&self, name: &str) -> eyre::Result<&str> {
        let values = self
            .values
            .get(name)
            .ok_or_else(|| eyre!("argument {name} is missing"))?;
        let value = values.first().ok_or_eyre("the argument has no value")?;
        Ok(value)
    }

    /// Parses the first value of an argument.
    ///
    /// # Errors
    ///
    /// When it is missing or malformed.
    pub fn number<T: FromStr>(&self, name: &str) -> eyre::Result<T> {
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| eyre!("{name}={text} is not a number"))
    }

    /// Parses the first value of an argument, or returns `default` if it is not given.
    ///
    /// # Errors
    ///
    /// When it is malformed.
    pub fn number_or<T: FromStr>(&self, name: &str, default: T) -> eyre::Result<T> {
        if self.has(name) {
            self.number(name)
        } else {
            Ok(default)
        }
    }
}

/// A scenario in progress, with its fleet and pending uploads.
pub struct Scenario {
    pub(super) example: PathBuf,
    pub(super) out: PathBuf,
    pub(super) fleet: Option<Fleet>,
    pub(super) uploads: Vec<JoinHandle<RequestOutcome>>,
    pub(super) orders_sent: usize,
}

impl Scenario {
    /// Creates a scenario without a fleet; `out` is the folder for settings and logs.
    pub fn new(example: PathBuf, out: PathBuf) -> Self {
        Self {
            example,
            out,
            fleet: None,
            uploads: Vec::new(),
            orders_sent: 0,
        }
    }

    pub(super) fn fleet(&mut self) -> eyre::Result<&mut Fleet> {
        self.fleet.as_mut().ok_or_eyre("no fleet was started")
    }
}
