//! Start-time fair queueing.
//!
//! Each flow has a tag, the virtual time at which its next unit of service starts; it increases by
//! `cost / weight` with each unit. The flow with the lowest tag is next. A flow that was idle starts
//! at the virtual time: it gets no credit for idleness, and keeps what it has used ahead of the
//! others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;

/// Number of flows from which on the clock looks for idle ones to forget.
const FLOWS_MIN: usize = 64;
/// Number of units of all flows after which a flow that had none of them is forgotten: what it was ahead
/// matters less and less.
const REMEMBERED_UNITS: u64 = 1000;

/// What is remembered of a flow.
#[derive(Clone, Copy, Debug)]
struct Flow {
    tag: f64,
    /// Number of units of all flows up to its last one.
    served_at: u64,
}

/// Virtual time, and the tags of flows.
#[derive(Clone, Debug)]
pub struct FairClock<K> {
    virtual_time: f64,
    flows: HashMap<K, Flow>,
    /// Number of units of all flows.
    served: u64,
    /// Tags at which the units in service have started, oldest first.
    started: VecDeque<f64>,
    /// Number of flows from which on idle ones are forgotten.
    forget_at: usize,
}

impl<K> Default for FairClock<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            flows: HashMap::new(),
            served: 0,
            started: VecDeque::new(),
            forget_at: FLOWS_MIN,
        }
    }
}

impl<K: Clone + Eq + Hash> FairClock<K> {
    /// Tag of a flow; the virtual time if the flow is unknown.
    pub fn tag(&self, flow: &K) -> f64 {
        let known = self.flows.get(flow);
        known.map_or(self.virtual_time, |known| known.tag)
    }

    /// Tag that a flow would have if it became active now.
    pub fn start(&self, flow: &K) -> f64 {
        self.tag(flow).max(self.virtual_time)
    }

    /// The same with a credit: a flow that was idle may start that far before the virtual time.
    pub fn start_early(&self, flow: &K, credit: f64) -> f64 {
        let known = self.flows.get(flow);
        let earliest = self.virtual_time - credit;
        known.map_or(earliest, |known| known.tag.max(earliest))
    }

    /// Lets a flow that was idle start at the virtual time.
    pub fn wake(&mut self, flow: &K) {
        let tag = self.start(flow);
        self.set_tag(flow, tag);
    }

    /// Serves one unit to a flow: its tag increases by `cost / weight`. Returns its tag before.
    pub fn charge(&mut self, flow: &K, cost: f64, weight: f64) -> f64 {
        let tag = self.tag(flow);
        self.served += 1;
        self.set_tag(flow, tag + cost / weight);
        self.started.push_back(tag);
        tag
    }

    /// Lets the virtual time become the tag at which the oldest of the units in service has started,
    /// if `in_service` of them are. What was served before them is forgotten.
    pub fn advance(&mut self, in_service: usize) {
        while self.started.len() > in_service.max(1) {
            self.started.pop_front();
        }
        let oldest = self.started.front().copied();
        self.virtual_time = oldest.map_or(self.virtual_time, |tag| tag.max(self.virtual_time));
    }

    /// Takes back one unit that a flow was served.
    pub fn refund(&mut self, flow: &K, cost: f64, weight: f64) {
        if let Some(known) = self.flows.get_mut(flow) {
            known.tag -= cost / weight;
        }
    }

    /// Sets the tag of a flow, as it was before the last unit.
    pub fn set_tag(&mut self, flow: &K, tag: f64) {
        let known = Flow {
            tag,
            served_at: self.served,
        };
        match self.flows.get_mut(flow) {
            Some(old) => *old = known,
            None => {
                self.flows.insert(flow.clone(), known);
            }
        }
    }

    /// Forgets flows that are no further than the virtual time, and those without a unit for long, if
    /// there are many. Only for callers that use [`Self::start`].
    pub fn forget_idle(&mut self) {
        if self.flows.len() < self.forget_at {
            return;
        }
        let (virtual_time, served) = (self.virtual_time, self.served);
        self.flows.retain(|_, flow| {
            flow.tag > virtual_time && served - flow.served_at < REMEMBERED_UNITS
        });
        self.forget_at = (self.flows.len() * 2).max(FLOWS_MIN);
    }

    /// Number of flows of which something is remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }
}
