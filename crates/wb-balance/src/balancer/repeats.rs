//! Who gets what of the retry budget, when there is too little of it.

use std::time::Duration;

use wb_types::id::Moment;

use super::Balancer;
use super::RequestInfo;
use crate::shares;

/// Largest share of the retry budget that is reserved for requests of a higher priority.
pub(super) const RESERVED_SHARE: f64 = 0.3;
/// Time for which a team that has asked for a repeat is expected to ask again.
pub(super) const REPEAT_PATIENCE: Duration = Duration::from_secs(4);

impl Balancer {
    /// Share of the retry budget that a request must leave to others: to those of a higher priority,
    /// and to teams that have had less than they are due.
    pub(super) fn reserved_share(&self, request: &RequestInfo, now: Moment) -> f64 {
        self.reserved_rank(request)
            .max(self.reserved_team(request, now))
    }

    /// Share that a request must leave to those of a higher priority: no more than they could use if
    /// each of them were sent again.
    fn reserved_rank(&self, request: &RequestInfo) -> f64 {
        let above = self.ranks.share_above(request.priority);
        if above > 0.0 {
            (above / self.retry_budget.ratio()).min(RESERVED_SHARE)
        } else {
            0.0
        }
    }

    /// Share that a request must leave to other teams.
    pub(super) fn reserved_team(&self, request: &RequestInfo, now: Moment) -> f64 {
        let flow = shares::flow(request);
        self.repeat_parts.reserved(&flow, 1.0, now)
    }

    /// Takes a repeat of a request from the retry budget, if that leaves a share of it. Teams that ask
    /// count, whether they get one or not.
    pub(super) fn try_repeat(&mut self, request: &RequestInfo, least: f64, now: Moment) -> bool {
        if !self.shares.has_teams() {
            return self.retry_budget.try_spend(least, now);
        }
        let flow = shares::flow(request);
        let weight = self.shares.weight(request);
        self.repeat_parts.ask(&flow, weight, now);
        if self.repeat_parts.is_refresh_due(now) {
            self.repeat_parts.refresh(self.retry_budget.total(now), now);
        }
        let reserved = least.max(self.reserved_team(request, now));
        let spent = self.retry_budget.try_spend(reserved, now);
        if spent {
            self.repeat_parts.take(&flow, 1.0, now);
        }
        spent
    }

    /// Whether a request gets no repeat since its team has used what it is due, while others ask.
    pub fn is_over_share(&self, request: &RequestInfo, now: Moment) -> bool {
        let reserved = self.reserved_team(request, now);
        reserved > 0.0 && !self.retry_budget.has_room(reserved, now)
    }
}
