//! A scenario in progress.

use std::collections::HashMap;
use std::path::PathBuf;
use std::str::FromStr;

use eyre::OptionExt;
use eyre::eyre;
use tokio::task::JoinHandle;

use crate::caller::Fate;
use crate::fleet::Fleet;

/// Arguments of a step.
#[derive(Clone, Debug, Default)]
pub struct Arguments {
    values: HashMap<String, Vec<String>>,
}

impl Arguments {
    /// Arguments by name.
    pub fn new(values: HashMap<String, Vec<String>>) -> Self {
        Self { values }
    }

    /// Whether an argument is given.
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// A text.
    ///
    /// # Errors
    ///
    /// When it is missing.
    pub fn text(&self, name: &str) -> eyre::Result<&str> {
        let values = self
            .values
            .get(name)
            .ok_or_else(|| eyre!("{name} is missing"))?;
        let value = values.first().ok_or_eyre("a value is missing")?;
        Ok(value)
    }

    /// A number.
    ///
    /// # Errors
    ///
    /// When it is missing or malformed.
    pub fn number<T: FromStr>(&self, name: &str) -> eyre::Result<T> {
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| eyre!("{name}={text} is not a number"))
    }

    /// A number that may be missing.
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

/// A scenario in progress.
pub struct Scenario {
    pub(super) example: PathBuf,
    pub(super) out: PathBuf,
    pub(super) fleet: Option<Fleet>,
    pub(super) uploads: Vec<JoinHandle<Fate>>,
    pub(super) orders: usize,
}

impl Scenario {
    /// A scenario that has not begun.
    pub fn new(example: PathBuf, out: PathBuf) -> Self {
        Self {
            example,
            out,
            fleet: None,
            uploads: Vec::new(),
            orders: 0,
        }
    }

    pub(super) fn fleet(&mut self) -> eyre::Result<&mut Fleet> {
        self.fleet.as_mut().ok_or_eyre("no fleet yet")
    }
}
