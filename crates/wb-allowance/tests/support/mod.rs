//! Instances with ledgers, and a lossy network between them, on virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_allowance::Grant;
use wb_allowance::Lease;
use wb_allowance::Ledger;
use wb_allowance::Offer;
use wb_allowance::Question;
use wb_allowance::Tolerance;
use wb_allowance::Verdict;
use wb_allowance::ledger::Identity;
use wb_allowance::offer_interval;
use wb_team::Allowance;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::TeamName;

/// Tolerance of the deployments.
pub const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    extra: 20.0,
};
/// Time after which the others see that an instance is gone.
const SILENCE: Duration = Duration::from_millis(1200);
/// Time for which callers use an answer of the directory.
const DIRECTORY_TIME: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(1);

/// A message on its way.
#[derive(Clone)]
enum Message {
    Offer(Offer),
    Lease(Lease),
    Question(Question),
    Grant(Grant),
}

/// What reaches an instance.
#[derive(Clone)]
enum Input {
    Message(usize, Message),
    Request(TeamName, bool),
}

struct Waiting {
    team: TeamName,
    until: Moment,
    due: bool,
}

struct Node {
    name: InstanceName,
    ledger: Option<Ledger>,
    incarnation: u64,
    /// Start of its clock, before that of the fleet.
    offset: Duration,
    next_tick: Moment,
    down_since: Option<Moment>,
    frozen: bool,
    inbox: Vec<Input>,
    waiting: Vec<Waiting>,
    side: u32,
}

/// A team, its traffic and what became of it.
pub struct Team {
    pub name: TeamName,
    pub allowance: Option<Allowance>,
    /// Requests per second.
    pub demand: f64,
    /// Requests that come at one moment.
    pub clump: u32,
    /// The only instance that its callers use.
    pub only: Option<usize>,
    /// One bucket for all instances: what a perfect system would admit.
    perfect: Exact,
    /// One bucket for all instances, from which the requests that were admitted are taken.
    used: Exact,
    pub admitted: Vec<Moment>,
    pub due: u32,
    pub refused_due: u32,
    pub refused: u32,
    /// Requests refused although those that were admitted leave room for them.
    pub refused_despite: u32,
    pub unknown: u32,
}

/// One bucket for all instances.
struct Exact {
    level: f64,
    at: Moment,
}

impl Exact {
    fn full(level: f64, at: Moment) -> Self {
        Self { level, at }
    }

    fn accrue(&mut self, allowance: Allowance, now: Moment) {
        let elapsed = (now - self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + allowance.rate * elapsed).min(allowance.burst);
    }

    fn has_room(&mut self, allowance: Allowance, now: Moment) -> bool {
        self.accrue(allowance, now);
        self.level >= 1.0
    }
}

/// What the network does.
#[derive(Clone, Copy, Default)]
pub struct Network {
    pub loss: f64,
    pub doubled: f64,
    /// Share of the messages that arrive up to two seconds late.
    pub late: f64,
}

pub struct Fleet {
    pub now: Moment,
    pub teams: Vec<Team>,
    pub network: Network,
    pub sent: BTreeMap<&'static str, u64>,
    pub sent_bytes: BTreeMap<&'static str, u64>,
    /// Added to the order in which instances become homes.
    pub turn: usize,
    pub retries: Vec<Duration>,
    /// Share of the requests that go to instances that were homes a moment ago.
    pub stale: f64,
    /// When each instance was last a home.
    home_at: BTreeMap<usize, Moment>,
    nodes: Vec<Node>,
    homes: usize,
    split_since: Option<Moment>,
    in_flight: BTreeMap<(Moment, u64), (usize, Input)>,
    serial: u64,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(instances: usize, homes: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..instances).map(|index| Node {
            name: format!("front-{index}").into(),
            ledger: None,
            incarnation: 0,
            offset: Duration::from_millis(rng.random_range(0..1_000_000)),
            next_tick: Duration::ZERO,
            down_since: None,
            frozen: false,
            inbox: Vec::new(),
            waiting: Vec::new(),
            side: 0,
        });
        let nodes = nodes.collect();
        let mut fleet = Self {
            now: Duration::from_secs(100),
            teams: Vec::new(),
            network: Network::default(),
            sent: BTreeMap::new(),
            sent_bytes: BTreeMap::new(),
            turn: 0,
            retries: Vec::new(),
            stale: 0.0,
            home_at: BTreeMap::new(),
            nodes,
            homes,
            split_since: None,
            in_flight: BTreeMap::new(),
            serial: 0,
            rng,
        };
        for index in 0..instances {
            fleet.start(index);
        }
        fleet
    }

    /// Adds a team whose callers use `share` of its allowance.
    pub fn add_team(&mut self, rate: f64, share: f64, clump: u32) -> usize {
        let burst = rate.max(1.0);
        let index = self.teams.len();
        self.teams.push(Team {
            name: format!("team-{index}").into(),
            allowance: Some(Allowance { rate, burst }),
            demand: rate * share,
            clump,
            only: None,
            perfect: Exact::full(burst, self.now),
            used: Exact::full(burst, self.now),
            admitted: Vec::new(),
            due: 0,
            refused_due: 0,
            refused: 0,
            refused_despite: 0,
            unknown: 0,
        });
        self.configure();
        index
    }

    /// Gives all running instances the teams as they are now.
    pub fn configure(&mut self) {
        let teams: Vec<_> = self
            .teams
            .iter()
            .filter_map(|team| Some((team.name.clone(), team.allowance?)))
            .collect();
        for node in &mut self.nodes {
            let now = self.now + node.offset;
            if let Some(ledger) = node.ledger.as_mut().filter(|_| !node.frozen) {
                ledger.set_teams(teams.iter().map(|(name, one)| (name, *one)), now);
            }
        }
    }

    pub fn start(&mut self, index: usize) {
        let teams: Vec<_> = self
            .teams
            .iter()
            .filter_map(|team| Some((team.name.clone(), team.allowance?)))
            .collect();
        let first_tick = self.now + offer_interval(self.nodes.len()).mul_f64(self.rng.random());
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let identity = Identity {
            name: node.name.clone(),
            incarnation: node.incarnation,
            first_start: false,
        };
        let now = self.now + node.offset;
        let mut ledger = Ledger::new(identity, TOLERANCE, now);
        ledger.set_teams(teams.iter().map(|(name, one)| (name, *one)), now);
        node.ledger = Some(ledger);
        node.next_tick = first_tick;
        node.down_since = None;
        node.frozen = false;
        node.inbox.clear();
    }

    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.ledger = None;
        node.inbox.clear();
        node.waiting.clear();
        node.down_since = Some(self.now);
    }

    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
        self.nodes[index].down_since = Some(self.now);
    }

    /// Lets a frozen instance go on: it handles what it has received meanwhile, requests first.
    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        self.nodes[index].down_since = None;
        let mut inbox = std::mem::take(&mut self.nodes[index].inbox);
        inbox.sort_by_key(|input| matches!(input, Input::Message(..)));
        for input in inbox {
            self.handle(index, input);
        }
    }

    /// Puts instances on another side: those of different sides don't reach each other.
    pub fn split(&mut self, indices: &[usize], side: u32) {
        for index in indices {
            self.nodes[*index].side = side;
        }
        self.split_since = Some(self.now);
    }

    pub fn join(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.side = 0);
        self.split_since = None;
    }

    fn sees(&self, index: usize, other: usize) -> bool {
        let recent = |since: Moment| self.now.saturating_sub(since) < SILENCE;
        let node = &self.nodes[other];
        let up = node.down_since.is_none_or(recent);
        let near = node.side == self.nodes[index].side || self.split_since.is_some_and(recent);
        index == other || (up && near)
    }

    /// The homes as an instance sees them.
    pub fn homes_of(&self, index: usize) -> Vec<usize> {
        let count = self.nodes.len();
        let ranked = (0..count).map(|rank| (rank + self.turn) % count);
        let seen = ranked.filter(|other| self.sees(index, *other));
        seen.take(self.homes).collect()
    }

    /// Instances that callers use: the homes that any instance sees.
    pub fn caller_targets(&self) -> Vec<usize> {
        let mut sides: BTreeMap<u32, usize> = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.ledger.is_some() && !node.frozen {
                sides.entry(node.side).or_insert(index);
            }
        }
        let mut targets: Vec<usize> = sides
            .values()
            .flat_map(|index| self.homes_of(*index))
            .filter(|index| self.nodes[*index].ledger.is_some())
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }

    pub fn part_of(&self, index: usize) -> f64 {
        let ledger = self.nodes[index].ledger.as_ref();
        ledger.map_or(0.0, Ledger::part)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.tick();
            self.arrive();
            self.give_up();
        }
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.next_tick > self.now || node.frozen || node.ledger.is_none() {
                continue;
            }
            let homes = self.homes_of(index);
            let homes: Vec<InstanceName> = homes
                .iter()
                .map(|home| self.nodes[*home].name.clone())
                .collect();
            let members: Vec<InstanceName> =
                self.nodes.iter().map(|node| node.name.clone()).collect();
            let interval = offer_interval(self.nodes.len());
            let node = &mut self.nodes[index];
            node.next_tick = self.now + interval;
            let now = self.now + node.offset;
            let Some(ledger) = node.ledger.as_mut() else {
                continue;
            };
            ledger.set_fleet(members, &homes, now);
            let (offer, targets) = ledger.tick(now);
            let targets = targets.to_vec();
            for target in targets {
                self.send(index, &target, Message::Offer(offer.clone()));
            }
        }
    }

    fn send(&mut self, from: usize, to: &InstanceName, message: Message) {
        let (kind, bytes) = match &message {
            Message::Offer(one) => ("offer", postcard::to_stdvec(one)),
            Message::Lease(one) => ("lease", postcard::to_stdvec(one)),
            Message::Question(one) => ("question", postcard::to_stdvec(one)),
            Message::Grant(one) => ("grant", postcard::to_stdvec(one)),
        };
        *self.sent.entry(kind).or_default() += 1;
        *self.sent_bytes.entry(kind).or_default() +=
            bytes.expect("messages are plain data").len() as u64;
        let Some(to) = self.nodes.iter().position(|node| node.name == *to) else {
            return;
        };
        if self.nodes[to].side != self.nodes[from].side || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.network.doubled));
        for _ in 0..copies {
            let late = self.rng.random_bool(self.network.late);
            let delay = if late {
                self.rng.random_range(10..2000)
            } else {
                self.rng.random_range(1..3)
            };
            self.serial += 1;
            let at = self.now + Duration::from_millis(delay);
            let input = Input::Message(from, message.clone());
            self.in_flight.insert((at, self.serial), (to, input));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, input) = entry.remove();
            self.input(to, input);
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        if self.nodes[index].frozen {
            self.nodes[index].inbox.push(input);
        } else if self.nodes[index].ledger.is_some() {
            self.handle(index, input);
        }
    }

    fn handle(&mut self, index: usize, input: Input) {
        let node = &mut self.nodes[index];
        let now = self.now + node.offset;
        let Some(ledger) = node.ledger.as_mut() else {
            return;
        };
        match input {
            Input::Request(team, due) => {
                let verdict = ledger.admit(&team, now);
                self.conclude(index, team, due, verdict);
                self.send_questions(index);
            }
            Input::Message(from, message) => {
                let from = self.nodes[from].name.clone();
                self.handle_message(index, &from, message);
            }
        }
    }

    fn handle_message(&mut self, index: usize, from: &InstanceName, message: Message) {
        let node = &mut self.nodes[index];
        let now = self.now + node.offset;
        let Some(ledger) = node.ledger.as_mut() else {
            return;
        };
        match message {
            Message::Offer(offer) => {
                if let Some(lease) = ledger.handle_offer(&offer, now) {
                    self.send(index, from, Message::Lease(lease));
                }
            }
            Message::Lease(lease) => {
                ledger.handle_lease(&lease, now);
            }
            Message::Question(question) => {
                let grant = ledger.handle_question(&question, now);
                self.send(index, from, Message::Grant(grant));
            }
            Message::Grant(grant) => {
                if ledger.handle_grant(&grant, now) {
                    self.decide_waiting(index);
                }
            }
        }
    }

    fn decide_waiting(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        for one in waiting {
            let node = &mut self.nodes[index];
            let now = self.now + node.offset;
            let Some(ledger) = node.ledger.as_mut() else {
                continue;
            };
            let verdict = ledger.decide(&one.team, one.until, now);
            self.conclude(index, one.team, one.due, verdict);
        }
        self.send_questions(index);
    }

    fn give_up(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let now = self.now + node.offset;
            if !node.frozen && node.waiting.iter().any(|one| one.until <= now) {
                self.decide_waiting(index);
            }
        }
    }

    fn send_questions(&mut self, index: usize) {
        let Some(ledger) = self.nodes[index].ledger.as_mut() else {
            return;
        };
        for (to, question) in ledger.take_questions() {
            self.send(index, &to, Message::Question(question));
        }
    }

    fn conclude(&mut self, index: usize, name: TeamName, due: bool, verdict: Verdict) {
        let now = self.now;
        let found = self.teams.iter_mut().find(|team| team.name == name);
        let team = found.expect("the team is known");
        match verdict {
            Verdict::Admitted => {
                team.admitted.push(now);
                team.used.level -= 1.0;
            }
            Verdict::Wait(until) => self.nodes[index].waiting.push(Waiting {
                team: name,
                until,
                due,
            }),
            Verdict::Refused(refusal) => {
                team.refused += 1;
                if let Some(allowance) = team.allowance {
                    team.refused_despite += u32::from(team.used.has_room(allowance, now));
                }
                team.refused_due += u32::from(due);
                team.unknown += u32::from(!refusal.is_over);
                self.retries.push(refusal.retry_after);
            }
        }
    }

    fn arrive(&mut self) {
        let targets = self.caller_targets();
        if targets.is_empty() {
            return;
        }
        for target in &targets {
            self.home_at.insert(*target, self.now);
        }
        let recent = |at: Moment| self.now.saturating_sub(at) < DIRECTORY_TIME;
        let known = self.home_at.iter().filter(|(_, at)| recent(**at));
        let stale: Vec<usize> = known.map(|(index, _)| *index).collect();
        for index in 0..self.teams.len() {
            let team = &mut self.teams[index];
            if team.allowance.is_none() {
                continue;
            }
            let chance = team.demand * STEP.as_secs_f64() / f64::from(team.clump);
            let whole = chance.floor() as u32 + u32::from(self.rng.random_bool(chance.fract()));
            for _ in 0..whole * team.clump {
                let team = &mut self.teams[index];
                let due = team.take_exact(self.now);
                team.due += u32::from(due);
                let name = team.name.clone();
                let addresses = if self.rng.random_bool(self.stale) {
                    &stale
                } else {
                    &targets
                };
                let drawn = addresses[self.rng.random_range(0..addresses.len())];
                let target = team.only.unwrap_or(drawn);
                self.input(target, Input::Request(name, due));
            }
        }
    }
}

impl Team {
    /// Takes a request from the perfect system.
    fn take_exact(&mut self, now: Moment) -> bool {
        let Some(allowance) = self.allowance else {
            return false;
        };
        self.used.accrue(allowance, now);
        let admits = self.perfect.has_room(allowance, now);
        self.perfect.level -= f64::from(u8::from(admits));
        admits
    }

    /// Sets the counts of what became of its requests back.
    pub fn restart_counts(&mut self) {
        self.due = 0;
        self.refused_due = 0;
        self.refused = 0;
        self.refused_despite = 0;
        self.unknown = 0;
    }

    /// Share of the requests refused that a perfect system would have admitted.
    pub fn refused_share(&self) -> f64 {
        f64::from(self.refused_due) / f64::from(self.due.max(1))
    }

    /// Most requests admitted in any window, relative to the bound for an allowance.
    pub fn peak_of(&self, allowance: Allowance, from: Moment, to: Moment) -> f64 {
        let window = TOLERANCE.window;
        let allowed = allowance.rate * window.as_secs_f64() + allowance.burst;
        let bound = allowed * (1.0 + TOLERANCE.overshoot) + TOLERANCE.extra;
        let times: Vec<Moment> = self
            .admitted
            .iter()
            .copied()
            .filter(|at| (from..=to).contains(at))
            .collect();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in times.iter().enumerate() {
            while *at - times[first] > window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as f64 / bound
    }

    /// Most requests admitted in any window, relative to the bound.
    pub fn peak(&self) -> f64 {
        let allowance = self.allowance.expect("the team has an allowance");
        self.peak_of(allowance, Moment::ZERO, Moment::MAX)
    }
}

/// Checks that no window of any team exceeds the bound, and prints what became of the requests.
pub fn assert_bound(fleet: &Fleet) {
    for team in &fleet.teams {
        let peak = team.peak();
        println!(
            "{} {:?}: {} admitted, {} due, {} of these refused, {} refused in all, {} of them \
             despite room, {} unknown, peak {peak:.3}",
            team.name,
            team.allowance,
            team.admitted.len(),
            team.due,
            team.refused_due,
            team.refused,
            team.refused_despite,
            team.unknown
        );
        assert!(peak <= 1.0, "{}: {peak}", team.name);
    }
}
