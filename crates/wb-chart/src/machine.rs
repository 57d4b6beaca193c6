//! A state machine that follows a chart.

use std::sync::Arc;

use crate::Chart;
use crate::chart::StateName;

/// A state machine: a chart and the current state.
#[derive(Clone, Debug)]
pub struct Machine {
    chart: Arc<Chart>,
    state: StateName,
}

impl Machine {
    /// Creates a machine in the chart's first state.
    pub fn new(chart: Arc<Chart>) -> Self {
        let state = chart.first.clone();
        Self { chart, state }
    }

    /// Name of the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Whether the current state has a transition for an event.
    pub fn accepts(&self, event: &str) -> bool {
        self.next(event).is_some()
    }

    /// Applies an event and returns the new state; `None` if the current state has no transition
    /// for the event, which then changes nothing.
    pub fn step(&mut self, event: &str) -> Option<&str> {
        let next = self.next(event)?;
        self.state = next;
        Some(&self.state)
    }

    fn next(&self, event: &str) -> Option<StateName> {
        self.chart.states.get(&self.state)?.get(event).cloned()
    }
}
