//! A machine that follows a chart.

use std::sync::Arc;

use crate::Chart;
use crate::chart::StateName;

/// One run through a chart.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: Arc<Chart>,
    state: StateName,
}

impl Machine {
    /// A machine in the chart's first state.
    pub fn new(chart: Arc<Chart>) -> Self {
        let state = chart.first.clone();
        Self { chart, state }
    }

    /// Name of the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Whether the current state has an answer to an event.
    pub fn accepts(&self, event: &str) -> bool {
        self.next(event).is_some()
    }

    /// Takes an event; gives the new state if it changed.
    pub fn step(&mut self, event: &str) -> Option<&str> {
        let next = self.next(event)?;
        self.state = next;
        Some(&self.state)
    }

    fn next(&self, event: &str) -> Option<StateName> {
        self.chart.states.get(&self.state)?.get(event).cloned()
    }
}
