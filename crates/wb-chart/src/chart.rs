//! Definition of a state chart, as its file gives it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Name of a state.
pub type StateName = Arc<str>;
/// Name of an event.
pub type EventName = Arc<str>;

/// A state chart: its states and the transitions between them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chart {
    /// Name of the chart.
    pub name: String,
    /// Initial state of a machine.
    pub first: StateName,
    /// Transitions: for each state, the next state by event.
    pub states: BTreeMap<StateName, BTreeMap<EventName, StateName>>,
}

impl Chart {
    /// Parses and checks a chart.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] for a malformed document; [`Error::Findings`] for undefined states, and
    /// for states that are not the target of any transition.
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
            findings.push(format!("first state `{}` is not defined", self.first));
        }
        for (state, events) in &self.states {
            for (event, next) in events {
                if !self.states.contains_key(next) {
                    findings.push(format!(
                        "event `{event}` of state `{state}` leads to undefined state `{next}`"
                    ));
                }
            }
            let is_target = self.states.values().any(|events| {
                let mut targets = events.values();
                targets.any(|next| next == state)
            });
            if !is_target && *state != self.first {
                findings.push(format!("no event leads to state `{state}`"));
            }
        }
        findings
    }
}
