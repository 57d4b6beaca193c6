//! What each team has been served of a service, and is due.
//!
//! One clock for each priority: teams share what is left to a priority, and none of it with another.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use wb_share::FairClock;
use wb_types::id::TeamName;

use crate::RequestInfo;

/// Weight of the newest request in the mean weight of teams.
const MEAN_ALPHA: f64 = 0.02;
/// Lowest weight: a team that is due nothing is served after the others, but is served.
const WEIGHT_MIN: f64 = 0.001;

/// Requests that a team that has sent less than it is due for a while may send at once before it is
/// behind the others. A team that is due few requests a second would lose its turns otherwise, since
/// its requests come by chance.
const CREDIT: f64 = 3.0;

/// A flow: a team; `None` for the requests on public routes, which are one flow.
pub type Flow = Option<TeamName>;

/// The clock of one priority.
#[derive(Clone, Debug, Default)]
struct RankClock {
    clock: FairClock<Flow>,
    /// Requests of the priority that probably are in flight.
    running: usize,
}

/// The clocks of a service, by priority.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    clocks: BTreeMap<u8, RankClock>,
    /// Priorities of the requests that probably are in flight, oldest first: as many of the newest
    /// as there are.
    running: VecDeque<u8>,
    /// Moving average of the weight of requests of teams; `None` as long as there was none.
    mean_weight: Option<f64>,
}

impl Shares {
    /// Whether a request of a team was seen. All requests are equal until then.
    pub fn has_teams(&self) -> bool {
        self.mean_weight.is_some()
    }

    /// Records a request from a caller.
    pub fn record(&mut self, request: &RequestInfo) {
        let Some(share) = &request.team else {
            return;
        };
        let weight = share.weight.max(WEIGHT_MIN);
        let mean = self.mean_weight.get_or_insert(weight);
        *mean += (weight - *mean) * MEAN_ALPHA;
    }

    /// What a request's team is due, relative to others. Public routes are due as much as a team that
    /// sends many requests.
    pub fn weight(&self, request: &RequestInfo) -> f64 {
        let share = request.team.as_ref();
        let weight = share.map(|share| share.weight).or(self.mean_weight);
        weight.unwrap_or(1.0).max(WEIGHT_MIN)
    }

    /// Tag of the request of a team that would be served next. The team with the lowest is next.
    pub fn tag(&self, priority: u8, flow: &Flow, weight: f64) -> f64 {
        let rank = self.clocks.get(&priority);
        let credit = CREDIT / weight;
        rank.map_or(-credit, |rank| rank.clock.start_early(flow, credit))
    }

    /// The same for the team of a request that has none queued.
    pub fn next_tag(&self, request: &RequestInfo) -> f64 {
        self.tag(request.priority, &flow(request), self.weight(request))
    }

    /// Records that a request gets a slot. `in_flight` are the requests that have one, this one
    /// included.
    pub fn charge(&mut self, request: &RequestInfo, in_flight: usize) {
        if !self.has_teams() {
            return;
        }
        let weight = self.weight(request);
        let rank = self.clocks.entry(request.priority).or_default();
        let clock = &mut rank.clock;
        let flow = flow(request);
        let tag = clock.start_early(&flow, CREDIT / weight);
        clock.set_tag(&flow, tag);
        clock.charge(&flow, 1.0, weight);
        rank.running += 1;
        self.running.push_back(request.priority);
        self.advance(in_flight);
    }

    /// Takes back the charge for a slot that was not used.
    pub fn refund(&mut self, request: &RequestInfo) {
        let weight = self.weight(request);
        if let Some(rank) = self.clocks.get_mut(&request.priority) {
            rank.clock.refund(&flow(request), 1.0, weight);
        }
    }

    /// Forgets what was served before the requests that are in flight now. Teams that have used
    /// more than others while there was room for all are not held back for it.
    pub fn advance(&mut self, in_flight: usize) {
        while self.running.len() > in_flight.max(1) {
            let ended = self.running.pop_front();
            if let Some(rank) = ended.and_then(|priority| self.clocks.get_mut(&priority)) {
                rank.running -= 1;
            }
        }
        for rank in self.clocks.values_mut() {
            rank.clock.advance(rank.running);
            rank.clock.forget_idle();
        }
    }

    /// Number of teams of which something is remembered, in all priorities.
    pub fn flow_count(&self) -> usize {
        let ranks = self.clocks.values();
        ranks.map(|rank| rank.clock.flow_count()).sum()
    }
}

/// Flow of a request.
pub fn flow(request: &RequestInfo) -> Flow {
    request.team.as_ref().map(|share| share.team.clone())
}
