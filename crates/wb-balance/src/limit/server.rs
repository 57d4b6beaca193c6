//! Limit of one server and this instance's part of it.

use std::time::Duration;

use wb_types::id::Moment;

use super::Division;
use super::KnownLimit;
use super::Observation;
use super::Pacer;
use super::Rate;
use super::division::Part;

/// Time without a report after which a home that holds no part of a limit forgets it: three
/// intervals of the reports. It sends the server no request that would show whether the limit holds.
const FORGET_TIME: Duration = Duration::from_secs(35);
/// Relative change of a limit from which other instances are told.
const REPORTED_CHANGE: f64 = 0.1;

/// Instances to which limits are reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// One that has just started, and knows none.
    NewInstance,
    /// The other homes, of which some may hold no part and can't observe the limit.
    OtherHomes,
}

/// Limit of one server, and the requests that this instance may send to it.
#[derive(Clone, Debug, Default)]
pub struct ServerLimit {
    known: KnownLimit,
    pacer: Pacer,
    /// When the limit was last observed or reported, or this instance became a home.
    heard: Moment,
    /// Limit that other instances were last told.
    reported: Option<Rate>,
    part: Part,
}

impl ServerLimit {
    /// The limit; `None` if the server has none.
    pub fn rate(&self) -> Option<Rate> {
        self.known.rate()
    }

    /// Rate that this instance may use; `None` if the server has no limit.
    pub fn part(&self) -> Option<Rate> {
        self.rate().map(|_| self.part.rate)
    }

    /// Whether a request may be sent now.
    pub fn admits(&self, now: Moment) -> bool {
        self.rate().is_none() || self.pacer.admits(now)
    }

    /// Counts a request that is sent now.
    pub fn take(&mut self, now: Moment) {
        if self.rate().is_some() {
            self.pacer.take(now);
        }
    }

    /// The last observation that counts, if this instance is the one that reports it to these
    /// others.
    pub fn report(&self, to: Audience) -> Option<Observation> {
        let reports = match to {
            Audience::NewInstance => self.part.is_first,
            Audience::OtherHomes => self.part.is_first && self.part.is_partial,
        };
        self.known.last().filter(|_| reports)
    }

    /// Takes an observation of the server's limit into account. Returns whether the limit changed.
    pub fn observe(
        &mut self,
        observation: Observation,
        server: &str,
        division: &Division,
        now: Moment,
    ) -> bool {
        self.heard = now;
        let changed = self.known.observe(observation);
        if changed {
            self.divide(server, division, now);
        }
        changed
    }

    /// Whether the limit differs so much from what other instances were told that they have to be
    /// told again. Marks it as told.
    pub fn take_news(&mut self) -> bool {
        let news = match (self.reported, self.rate()) {
            (Some(old), Some(new)) => (new - old).abs() > old * REPORTED_CHANGE,
            (old, new) => old != new,
        };
        if news {
            self.reported = self.rate();
        }
        news
    }

    /// Recomputes this instance's part of the limit.
    pub fn divide(&mut self, server: &str, division: &Division, now: Moment) {
        let Some(rate) = self.rate() else {
            self.pacer = Pacer::default();
            self.part = Part::default();
            return;
        };
        self.part = division.part(server, rate);
        self.pacer.set_rate(self.part.rate, now);
    }

    /// Restarts the time after which an unconfirmed limit is forgotten.
    pub fn renew(&mut self, now: Moment) {
        self.heard = now;
    }

    /// Forgets the limit if this instance is a home that holds no part of it and has heard nothing
    /// of it for long. Returns whether it does.
    pub fn expire(&mut self, division: &Division, now: Moment) -> bool {
        let idle = self.part().is_some_and(|rate| rate <= 0.0);
        let silent = now.saturating_sub(self.heard) > FORGET_TIME;
        let expired = idle && silent && division.is_home();
        if expired {
            *self = Self::default();
        }
        expired
    }
}
