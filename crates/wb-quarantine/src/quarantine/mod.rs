//! Requests under suspicion, and those that are held.

mod count;
mod reports;

use std::collections::HashMap;
use std::time::Duration;

use wb_types::id::Moment;
use wb_types::id::RequestKey;
use wb_types::id::ServerName;

use crate::answers::AnswerCache;

/// Limits of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Ends of servers after which a request is held that was never answered.
    pub crashes: usize,
    /// The same for one that was answered before: it probably shared the servers with another.
    pub answered_crashes: usize,
    /// Time for which it is held after the last of them. Doubles with each further one.
    pub hold: Duration,
    /// Longest such time.
    pub hold_max: Duration,
    /// Time after which the end of a server is forgotten.
    pub memory: Duration,
    /// Most requests under suspicion.
    pub keys_max: usize,
    /// Most answered requests that are remembered.
    pub answers_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            crashes: 3,
            answered_crashes: 5,
            hold: Duration::from_secs(5 * 60),
            hold_max: Duration::from_secs(60 * 60),
            memory: Duration::from_secs(2 * 60 * 60),
            keys_max: 1024,
            answers_max: 4096,
        }
    }
}

/// Most ends of servers that are kept for one request, the newest. A hold has its longest time before.
const CRASHES_KEPT: usize = 8;

/// End of a server's process while it had a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The server.
    pub server: ServerName,
    /// Start of its process, by which it is told from earlier and later ones.
    pub started: u64,
    /// When the request was sent to it, by the quarantine's clock.
    pub began: Moment,
    /// When its end was noticed, by the quarantine's clock.
    pub ended: Moment,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.started == other.started
    }
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing is held against it.
    Clear,
    /// Servers ended while they had it, too few to hold it, or its hold is over.
    Suspect {
        /// Ends of servers that count.
        crashes: usize,
    },
    /// It is not sent to servers.
    Held {
        /// Ends of servers that count.
        crashes: usize,
        /// Time until it may be tried again.
        remaining: Duration,
    },
}

impl Standing {
    /// Whether the request is not sent to servers.
    pub fn is_held(self) -> bool {
        matches!(self, Self::Held { .. })
    }

    /// Ends of servers that count.
    pub fn crashes(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Suspect { crashes } | Self::Held { crashes, .. } => crashes,
        }
    }
}

/// A change of what is known of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The request.
    pub key: RequestKey,
    /// Its standing before.
    pub before: Standing,
    /// Its standing now.
    pub after: Standing,
}

/// Evidence on one request.
#[derive(Clone, Debug, Default)]
struct Evidence {
    crashes: Vec<Crash>,
    answered: Option<Moment>,
    /// Crashes that count.
    counted: usize,
    /// When something was last added.
    changed: Moment,
}

impl Evidence {
    /// Crashes since the request was last answered.
    fn since_answer(&self) -> impl Iterator<Item = &Crash> {
        let answered = self.answered;
        let newer = move |crash: &&Crash| answered.is_none_or(|answered| crash.ended > answered);
        self.crashes.iter().filter(newer)
    }

    /// Crashes from which the request is held.
    fn required(&self, options: &Options) -> usize {
        match self.answered {
            None => options.crashes,
            Some(_) => options.answered_crashes,
        }
    }

    fn contains(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Adds a crash. Returns whether it was unknown. The times of one that is known stay, so that
    /// a late report doesn't make it newer than an answer.
    fn add(&mut self, crash: Crash, now: Moment) -> bool {
        if self.contains(&crash) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.ended);
        let excess = self.crashes.len().saturating_sub(CRASHES_KEPT);
        self.crashes.drain(..excess);
        self.changed = now;
        true
    }

    /// Records an answer. Returns whether it clears the request of something.
    fn add_answer(&mut self, at: Moment, now: Moment) -> bool {
        let clears = self.since_answer().any(|crash| crash.ended <= at);
        self.answered = self.answered.max(Some(at));
        if clears {
            self.changed = now;
        }
        clears
    }

    fn last_crash(&self) -> Moment {
        self.crashes
            .last()
            .map_or(Moment::ZERO, |crash| crash.ended)
    }
}

/// Evidence on all requests that may crash servers. All moments that are passed in are those of the
/// instance; inside, the clock is ahead by the time for which evidence is kept, so that the times of
/// crashes before the start of the instance have an order, too.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: Options,
    entries: HashMap<RequestKey, Evidence>,
    answers: AnswerCache,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

impl Quarantine {
    /// A quarantine without evidence.
    pub fn new(options: Options) -> Self {
        Self {
            entries: HashMap::new(),
            answers: AnswerCache::new(options.answers_max),
            options,
        }
    }

    /// The quarantine's clock at a moment of the instance.
    fn clock(&self, moment: Moment) -> Moment {
        moment + self.options.memory
    }

    /// What is known of a request.
    pub fn standing(&self, key: RequestKey, now: Moment) -> Standing {
        let now = self.clock(now);
        let Some(evidence) = self.entries.get(&key) else {
            return Standing::Clear;
        };
        let crashes = evidence.counted;
        if crashes == 0 {
            return Standing::Clear;
        }
        let Some(further) = crashes.checked_sub(evidence.required(&self.options)) else {
            return Standing::Suspect { crashes };
        };
        let hold = self.options.hold * (1 << further.min(CRASHES_KEPT));
        let end = evidence.last_crash() + hold.min(self.options.hold_max);
        match end.checked_sub(now).filter(|left| !left.is_zero()) {
            Some(remaining) => Standing::Held { crashes, remaining },
            None => Standing::Suspect { crashes },
        }
    }

    /// Records that a server ended, as was noticed now, while it had a request that had been sent to
    /// it at the time `began`. Returns the change; `None` if it was known.
    pub fn record_crash(
        &mut self,
        key: RequestKey,
        server: &ServerName,
        started: u64,
        began: Moment,
        now: Moment,
    ) -> Option<Change> {
        let before = self.standing(key, now);
        let ended = self.clock(now);
        let crash = Crash {
            server: server.clone(),
            started,
            began: self.clock(began),
            ended,
        };
        if !self.evidence(key).add(crash, ended) {
            return None;
        }
        self.settle(key);
        let after = self.standing(key, now);
        Some(Change { key, before, after })
    }

    /// Records that a server answered a request completely. Returns the change if that clears the
    /// request of something.
    pub fn record_answer(&mut self, key: RequestKey, now: Moment) -> Option<Change> {
        let clock = self.clock(now);
        self.answers.insert(key, clock);
        let before = self.standing(key, now);
        let evidence = self.entries.get_mut(&key)?;
        if !evidence.add_answer(clock, clock) {
            return None;
        }
        self.recount();
        let after = self.standing(key, now);
        Some(Change { key, before, after })
    }

    /// Forgets old evidence.
    pub fn expire(&mut self, now: Moment) {
        let oldest = self.clock(now).saturating_sub(self.options.memory);
        let before = self.entries.len();
        let mut forgot = false;
        self.entries.retain(|_, evidence| {
            let count = evidence.crashes.len();
            evidence.crashes.retain(|crash| crash.ended >= oldest);
            forgot |= evidence.crashes.len() < count;
            !evidence.crashes.is_empty()
        });
        if forgot || self.entries.len() < before {
            self.recount();
        }
    }

    /// Number of requests that are held.
    pub fn held_count(&self, now: Moment) -> usize {
        let keys = self.entries.keys();
        keys.filter(|key| self.standing(**key, now).is_held())
            .count()
    }

    fn evidence(&mut self, key: RequestKey) -> &mut Evidence {
        let answered = self.answers.get(key);
        self.entries.entry(key).or_insert_with(|| Evidence {
            answered,
            ..Evidence::default()
        })
    }

    /// Counts anew after evidence on `key` was added, and drops a request if there are too many: the
    /// one with the fewest and oldest crashes.
    fn settle(&mut self, key: RequestKey) {
        self.recount();
        if self.entries.len() <= self.options.keys_max {
            return;
        }
        let others = self.entries.iter().filter(|(other, _)| **other != key);
        let least = others.min_by_key(|(_, evidence)| (evidence.counted, evidence.last_crash()));
        if let Some(least) = least.map(|(key, _)| *key) {
            self.entries.remove(&least);
            self.recount();
        }
    }
}
