//! The order of the queue.
//!
//! Requests that can still meet their latency target go first, then those of a higher priority, then
//! those of the team that has had least of what it is due, then those that arrived first. As long as
//! no teams are named, the third has no part in it.

use std::cmp::Ordering;
use std::collections::HashMap;

use wb_types::id::Moment;
use wb_types::id::TeamName;

use super::Balancer;
use super::RequestInfo;
use super::WaitKey;
use super::Waiter;

/// Requests that go before others, whatever their teams: whether they miss their latency target, and
/// their priority.
type Lane = (bool, u8);

/// A place in the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    lane: Lane,
    tag: f64,
    arrived: Moment,
    key: WaitKey,
}

impl Place {
    fn order(&self, other: &Self) -> Ordering {
        let by_tag = || self.tag.total_cmp(&other.tag);
        let by_arrival = || (self.arrived, self.key).cmp(&(other.arrived, other.key));
        let by_lane = self.lane.cmp(&other.lane);
        by_lane.then_with(by_tag).then_with(by_arrival)
    }
}

/// The queued requests of one team and priority.
#[derive(Clone, Copy, Debug)]
struct Line {
    tag: f64,
    weight: f64,
    /// Those that can still meet their latency target, while the others are counted.
    timely: usize,
    /// Those of the lane that are counted.
    queued: usize,
}

impl Line {
    /// Tag of a request that has `ahead` of its team's before it.
    fn tag_behind(&self, ahead: usize) -> f64 {
        self.tag + ahead as f64 / self.weight
    }

    /// Number of those of the lane whose tag is not above this one.
    fn before(&self, tag: f64) -> usize {
        let first = self.tag_behind(self.timely);
        if tag < first {
            return 0;
        }
        let before = ((tag - first) * self.weight).floor() + 1.0;
        (before as usize).min(self.queued)
    }
}

impl Balancer {
    /// Keys of the queued requests in the order in which they get slots.
    pub(super) fn queued_in_order(&self, now: Moment) -> Vec<WaitKey> {
        let queue = self.queue.iter();
        let mut places: Vec<Place> = queue
            .map(|(key, waiter)| self.place(key, waiter, now))
            .collect();
        if self.shares.has_teams() {
            // The requests of one team are served in this order, whatever those of others are.
            places.sort_unstable_by(Place::order);
            self.set_tags(&mut places);
        }
        places.sort_unstable_by(Place::order);
        places.into_iter().map(|place| place.key).collect()
    }

    /// The place of a request if its team's tag is left out.
    fn place(&self, key: WaitKey, waiter: &Waiter, now: Moment) -> Place {
        let request = &waiter.request;
        Place {
            lane: (self.is_late(request, now), request.priority),
            tag: 0.0,
            arrived: request.arrived,
            key,
        }
    }

    fn set_tags(&self, places: &mut [Place]) {
        let mut lines: HashMap<(u8, Option<&TeamName>), Line> = HashMap::new();
        for place in places {
            let request = &self.queue[place.key].request;
            let key = (request.priority, team(request));
            let line = lines.entry(key).or_insert_with(|| self.line(request));
            place.tag = line.tag_behind(line.queued);
            line.queued += 1;
        }
    }

    fn line(&self, request: &RequestInfo) -> Line {
        Line {
            tag: self.shares.tag(request),
            weight: self.shares.weight(request),
            timely: 0,
            queued: 0,
        }
    }

    /// Number of queued requests that get a slot before a new one does.
    pub(super) fn ahead_of(&self, request: &RequestInfo, now: Moment) -> usize {
        if self.shares.has_teams() {
            self.ahead_in_lane(request, self.is_late(request, now), now)
        } else {
            self.queued_ahead(request)
        }
    }

    /// The same if all that miss their latency target let it pass.
    pub(super) fn timely_ahead_of(&self, request: &RequestInfo, now: Moment) -> usize {
        if self.shares.has_teams() {
            return self.ahead_in_lane(request, false, now);
        }
        let ahead = self.queue.values().filter(|waiter| {
            waiter.request.priority <= request.priority && !self.is_late(&waiter.request, now)
        });
        ahead.count()
    }

    /// Queued requests of the same or a higher priority.
    pub(super) fn queued_ahead(&self, request: &RequestInfo) -> usize {
        let queued = self.queue.values();
        queued
            .filter(|waiter| waiter.request.priority <= request.priority)
            .count()
    }

    fn ahead_in_lane(&self, request: &RequestInfo, late: bool, now: Moment) -> usize {
        let lane = (late, request.priority);
        let own = team(request);
        let mut ahead = 0;
        let mut own_line = self.line(request);
        let mut lines: HashMap<Option<&TeamName>, Line> = HashMap::new();
        for waiter in self.queue.values() {
            let other = &waiter.request;
            let of = (self.is_late(other, now), other.priority);
            ahead += usize::from(of < lane);
            if other.priority != request.priority || of > lane {
                continue;
            }
            let line = if team(other) == own {
                &mut own_line
            } else {
                let line = lines.entry(team(other));
                line.or_insert_with(|| self.line(other))
            };
            if of < lane {
                line.timely += 1;
            } else if team(other) != own || other.arrived <= request.arrived {
                line.queued += 1;
            }
        }
        let tag = own_line.tag_behind(own_line.timely + own_line.queued);
        let others: usize = lines.values().map(|line| line.before(tag)).sum();
        ahead + own_line.queued + others
    }
}

fn team(request: &RequestInfo) -> Option<&TeamName> {
    request.team.as_ref().map(|share| &share.team)
}
