//! The order of the queue.
//!
//! Requests that can still meet their latency target go first, then those of a higher priority, then
//! those of the team that has had least of what it is due, then those that arrived first. As long as
//! no teams are named, the third has no part in it.

use std::cmp::Ordering;

use slotmap::SecondaryMap;
use wb_types::id::Moment;

use super::Balancer;
use super::RequestInfo;
use super::WaitKey;
use super::Waiter;
use crate::lines::Line;
use crate::lines::LineKey;

/// Requests that go before others, whatever their teams: whether they miss their latency target, and
/// their priority.
type Lane = (bool, u8);

/// Queued requests that get a slot before another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Ahead {
    /// All of them.
    pub(super) all: usize,
    /// Those of its own team and priority, where teams are named.
    pub(super) own: usize,
}

/// A place in the order of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Place {
    lane: Lane,
    tag: f64,
    arrived: Moment,
    line: LineKey,
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

/// The tags of the queued requests of one line.
#[derive(Clone, Copy, Debug)]
struct Tags {
    first: f64,
    weight: f64,
    /// Those that can still meet their latency target, while the others are counted.
    timely: usize,
    /// Those of the lane that are counted.
    queued: usize,
}

impl Tags {
    /// Tag of a request that has `ahead` of its line before it.
    fn behind(&self, ahead: usize) -> f64 {
        self.first + ahead as f64 / self.weight
    }

    /// Number of those of the lane whose tag is not above this one.
    fn up_to(&self, tag: f64) -> usize {
        let first = self.behind(self.timely);
        if tag < first {
            return 0;
        }
        let count = ((tag - first) * self.weight).floor() + 1.0;
        (count as usize).min(self.queued)
    }
}

impl Balancer {
    /// Keys of the queued requests in the order in which they get slots.
    pub(super) fn queued_in_order(&self, now: Moment) -> Vec<WaitKey> {
        let queue = self.queue.iter();
        let mut places: Vec<Place> = queue
            .map(|(key, waiter)| self.place(key, waiter, now))
            .collect();
        places.sort_unstable_by(Place::order);
        if self.shares.has_teams() {
            self.set_tags(&mut places);
            places.sort_unstable_by(Place::order);
        }
        places.into_iter().map(|place| place.key).collect()
    }

    /// The place of a request if the tag of its team is left out.
    fn place(&self, key: WaitKey, waiter: &Waiter, now: Moment) -> Place {
        Place {
            lane: (self.misses_target(waiter, now), waiter.request.priority),
            tag: 0.0,
            arrived: waiter.request.arrived,
            line: waiter.line,
            key,
        }
    }

    /// Sets the tags of requests that are in the order in which those of each team are served.
    fn set_tags(&self, places: &mut [Place]) {
        let mut lines = self.line_tags(None);
        for place in places {
            let Some(tags) = lines.get_mut(place.line) else {
                continue;
            };
            place.tag = tags.behind(tags.queued);
            tags.queued += 1;
        }
    }

    /// The tags of all lines, or of those of one priority. No request is counted yet.
    fn line_tags(&self, priority: Option<u8>) -> SecondaryMap<LineKey, Tags> {
        let lines = self.lines.iter();
        let wanted =
            lines.filter(|(_, line)| priority.is_none_or(|priority| line.priority == priority));
        wanted.map(|(key, line)| (key, self.tags(line))).collect()
    }

    fn tags(&self, line: &Line) -> Tags {
        Tags {
            first: self.shares.tag(line.priority, &line.flow, line.weight),
            weight: line.weight,
            timely: 0,
            queued: 0,
        }
    }

    /// Queued requests that get a slot before a new one does.
    pub(super) fn ahead_of(&self, request: &RequestInfo, now: Moment) -> Ahead {
        if self.shares.has_teams() {
            self.ahead_in_lane(request, self.is_late(request, now), now)
        } else {
            let all = self.queued_ahead(request);
            Ahead { all, own: 0 }
        }
    }

    /// The same if all that miss their latency target let it pass.
    pub(super) fn timely_ahead_of(&self, request: &RequestInfo, now: Moment) -> Ahead {
        if self.shares.has_teams() {
            return self.ahead_in_lane(request, false, now);
        }
        let ahead = self.queue.values().filter(|waiter| {
            waiter.request.priority <= request.priority && !self.misses_target(waiter, now)
        });
        let all = ahead.count();
        Ahead { all, own: 0 }
    }

    /// Queued requests of the same or a higher priority.
    pub(super) fn queued_ahead(&self, request: &RequestInfo) -> usize {
        let queued = self.queue.values();
        queued
            .filter(|waiter| waiter.request.priority <= request.priority)
            .count()
    }

    fn ahead_in_lane(&self, request: &RequestInfo, late: bool, now: Moment) -> Ahead {
        if self.queue.is_empty() {
            return Ahead::default();
        }
        let lane = (late, request.priority);
        let own = self.lines.find(request);
        let mut lines = self.line_tags(Some(request.priority));
        let mut ahead = 0;
        for waiter in self.queue.values() {
            let of = (self.misses_target(waiter, now), waiter.request.priority);
            ahead += usize::from(of < lane);
            let Some(tags) = lines.get_mut(waiter.line).filter(|_| of <= lane) else {
                continue;
            };
            if of < lane {
                tags.timely += 1;
            } else if Some(waiter.line) != own || waiter.request.arrived <= request.arrived {
                tags.queued += 1;
            }
        }
        let own_tags = own.and_then(|key| lines.get(key));
        let tag = own_tags.map_or_else(
            || self.shares.next_tag(request),
            |tags| tags.behind(tags.timely + tags.queued),
        );
        let before = |(key, tags): (LineKey, &Tags)| {
            if Some(key) == own {
                tags.queued
            } else {
                tags.up_to(tag)
            }
        };
        Ahead {
            all: ahead + lines.iter().map(before).sum::<usize>(),
            own: own_tags.map_or(0, |tags| tags.timely + tags.queued),
        }
    }
}
