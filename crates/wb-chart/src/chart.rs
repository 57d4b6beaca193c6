//! The chart as a file describes it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Name of a state.
pub type StateName = Arc<str>;
/// Name of an event.
pub type EventName = Arc<str>;

/// States and the events that lead from one to the next.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart.
    pub name: String,
    /// State of a new machine.
    pub first: StateName,
    /// For each state, the next state by event.
    pub states: BTreeMap<StateName, BTreeMap<EventName, StateName>>,
}

impl Chart {
    /// Reads a chart.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] for a malformed document, [`Error::Findings`] for states that are named
    /// but not described, or that nothing leads to.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let chart: Self =
            marked_yaml::from_yaml(0, text).map_err(|err| Error::Syntax(err.to_string()))?;
        let findings = chart.findings();
        if findings.is_empty() {
            Ok(chart)
        } else {
            Err(Error::Findings(findings))
        }
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if !self.states.contains_key(&self.first) {
            findings.push(format!("first state `{}` is not described", self.first));
        }
        for (state, events) in &self.states {
            for (event, next) in events {
                if !self.states.contains_key(next) {
                    findings.push(format!("`{state}` on `{event}` leads to unknown `{next}`"));
                }
            }
            let reached = self.states.values().any(|events| {
                let mut targets = events.values();
                targets.any(|next| next == state)
            });
            if !reached && *state != self.first {
                findings.push(format!("nothing leads to `{state}`"));
            }
        }
        findings
    }
}
