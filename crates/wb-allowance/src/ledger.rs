//! The decisions of one instance.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use wb_team::Allowance;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::TeamName;

use crate::Credit;
use crate::Grant;
use crate::Lease;
use crate::Limit;
use crate::Offer;
use crate::Question;
use crate::Refusal;
use crate::Tolerance;
use crate::account::Account;
use crate::account::Circumstances;
use crate::account::Step;
use crate::account::WAIT_TIME;
use crate::assignment;
use crate::bucket::Holding;
use crate::lease_time;
use crate::leases::Leases;
use crate::loan::Questions;
use crate::owner::Owner;

/// Time for which the response of another instance shows that the team is over its allowance.
const ANSWER_AGE_MAX: Duration = Duration::from_secs(1);
/// Fraction of the parts due to a home, below which it doesn't know whether a team is over its
/// allowance.
const KNOWN_SHARE: f64 = 0.5;
/// Tokens that are asked for in all, relative to those needed: some of those asked have none.
const SPREAD: f64 = 2.0;
/// Time after which a team that was removed counts as new if it returns.
const GONE_TIME: Duration = Duration::from_secs(10);
/// Time within which the token of a request that was not executed is given back: later, it might be
/// used in another window than that in which it accrued.
const GIVE_BACK_TIME: Duration = Duration::from_millis(250);

/// Time after the start of a process in which leases are on their way.
const START_TIME: Duration = Duration::from_secs(1);
/// Time that a request waits for a token while leases are on their way: they can be given once those of
/// former processes have ended.
const START_WAIT: Duration = Duration::from_millis(400);

/// Identity of the instance, and what it starts with.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub name: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It has a token.
    Admitted,
    /// Another instance may lend a token until then: to be asked again at each response.
    Wait(Moment),
    /// It gets none.
    Refused(Refusal),
}

/// Allowances of all teams on one instance.
#[derive(Clone, Debug)]
pub struct Ledger {
    identity: Identity,
    started: Moment,
    tolerance: Tolerance,
    owner: Owner,
    leases: Leases,
    accounts: HashMap<TeamName, Account>,
    /// Teams that were removed, and when.
    gone: HashMap<TeamName, Moment>,
    /// Since when there are teams with an allowance.
    active: Option<Moment>,
    homes: Vec<InstanceName>,
    /// Homes other than this instance.
    others: Vec<InstanceName>,
    members: Vec<InstanceName>,
    /// Instances that this home asks for their parts.
    assigned: Vec<InstanceName>,
    /// Process starts whose credit has been counted.
    credited: BTreeMap<InstanceName, Incarnation>,
    questions: Questions,
    outbox: Vec<(InstanceName, Question)>,
    /// When another instance that knows what lacks everywhere last answered a question.
    answered: Option<Moment>,
}

impl Ledger {
    /// The ledger of a process that has just started.
    pub fn new(identity: Identity, tolerance: Tolerance, now: Moment) -> Self {
        Self {
            owner: Owner::new(identity.name.clone(), identity.first_start, now),
            identity,
            started: now,
            tolerance,
            leases: Leases::new(now),
            accounts: HashMap::new(),
            gone: HashMap::new(),
            active: None,
            homes: Vec::new(),
            others: Vec::new(),
            members: Vec::new(),
            assigned: Vec::new(),
            credited: BTreeMap::new(),
            questions: Questions::default(),
            outbox: Vec::new(),
            answered: None,
        }
    }

    /// Whether a team has an allowance. Otherwise there is nothing to send.
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Sum of the parts that this instance holds, between 0 and 1.
    pub fn part(&self) -> f64 {
        self.leases.total()
    }

    /// Number of instances whose parts this instance holds.
    pub fn lease_count(&self) -> usize {
        self.leases.count()
    }

    /// Number of teams with an allowance.
    pub fn team_count(&self) -> usize {
        self.accounts.len()
    }

    /// Tokens of each team here.
    pub fn levels(&mut self, now: Moment) -> impl Iterator<Item = (&TeamName, f64)> {
        self.advance(now);
        let holding = self.holding(now);
        self.accounts.iter_mut().map(move |(team, account)| {
            account.bucket.settle(holding);
            (team, account.bucket.level())
        })
    }

    fn holding(&self, now: Moment) -> Holding {
        Holding {
            total: self.leases.total(),
            integral: self.leases.integral(),
            now,
        }
    }

    /// Goes on in time. Buckets are settled whenever the sum of the parts changes.
    fn advance(&mut self, now: Moment) {
        while self.leases.advance(now) {
            self.settle(now);
            self.leases.expire();
            self.settle(now);
        }
    }

    fn settle(&mut self, now: Moment) {
        let holding = self.holding(now);
        for account in self.accounts.values_mut() {
            account.bucket.settle(holding);
        }
    }

    /// Sets the teams that have an allowance. Those that are new have no tokens, unless they are new
    /// for certain: an instance that has just started can't tell.
    pub fn set_teams<'a>(
        &mut self,
        teams: impl Iterator<Item = (&'a TeamName, Allowance)>,
        now: Moment,
    ) {
        self.advance(now);
        let holding = self.holding(now);
        let old_enough = |since: Moment| now.saturating_sub(since) > GONE_TIME;
        self.gone.retain(|_, at| !old_enough(*at));
        let settled = self.active.is_some_and(old_enough);
        let mut before = std::mem::take(&mut self.accounts);
        for (team, allowance) in teams {
            let limit = Limit::new(allowance, self.tolerance);
            let mut account = match before.remove(team) {
                Some(account) => account,
                None => self.open_account(team, limit, settled, now),
            };
            account.bucket.set_limit(limit, holding);
            self.accounts.insert(team.clone(), account);
        }
        self.gone.extend(before.into_keys().map(|team| (team, now)));
        self.active = (!self.accounts.is_empty()).then(|| self.active.unwrap_or(now));
    }

    fn open_account(&self, team: &TeamName, limit: Limit, settled: bool, now: Moment) -> Account {
        let holding = self.holding(now);
        let mut account = Account::new(limit, holding);
        if settled && !self.gone.contains_key(team) {
            account.bucket.credit(limit.start * holding.total, holding);
        }
        account
    }

    /// Sets the instances that are known, this one included, and the homes among them.
    pub fn set_fleet(&mut self, members: Vec<InstanceName>, homes: &[InstanceName], now: Moment) {
        self.owner.set_members(members.len(), now);
        if members == self.members && homes == self.homes {
            return;
        }
        self.members = members;
        self.homes = homes.to_vec();
        self.others = homes.to_vec();
        self.others.retain(|home| *home != self.identity.name);
        self.assigned = if self.is_home() {
            assignment::assigned_to(&self.identity.name, &self.homes, &self.members)
        } else {
            Vec::new()
        };
    }

    fn is_home(&self) -> bool {
        self.homes.contains(&self.identity.name)
    }

    /// Keeps the own part if it is due here, and returns the offer to send, and to whom.
    pub fn tick(&mut self, now: Moment) -> (Offer, &[InstanceName]) {
        self.advance(now);
        let keeps = self.is_home() || self.owner.is_forgotten(now);
        if self.is_active() && keeps {
            let incarnation = self.identity.incarnation;
            let name = self.identity.name.clone();
            let part = self.owner.part();
            match self.owner.keep(incarnation, now) {
                Some(credit) => {
                    self.hold(&name, part, now + self.lease_time(), now);
                    self.take_credit(&name, incarnation, part, credit, now);
                }
                None => {
                    let credit = self.owner.early_credit(incarnation, now);
                    self.take_credit(&name, incarnation, part, credit, now);
                }
            }
        }
        let offer = Offer {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            sent: now,
            lasts: self.lease_time(),
        };
        let targets: &[InstanceName] = if self.is_active() {
            &self.assigned
        } else {
            &[]
        };
        (offer, targets)
    }

    /// Handles an offer of a home. Returns the lease, if this instance may give one.
    pub fn handle_offer(&mut self, offer: &Offer, now: Moment) -> Option<Lease> {
        if self.is_home() || offer.from == self.identity.name {
            return None;
        }
        self.advance(now);
        if self.owner.is_own() {
            self.settle(now);
            self.leases.remove(&self.identity.name);
            self.settle(now);
        }
        let (credit, is_leased) = self.owner.lease(offer, now)?;
        Some(Lease {
            from: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            holder: offer.incarnation,
            sent: offer.sent,
            lasts: offer.lasts,
            part: self.owner.part(),
            is_leased,
            credit,
        })
    }

    /// Handles a lease of another instance. Returns whether its part is new here.
    pub fn handle_lease(&mut self, lease: &Lease, now: Moment) -> bool {
        let until = lease.sent + lease.lasts;
        if lease.holder != self.identity.incarnation || until <= now || lease.sent > now {
            return false;
        }
        self.advance(now);
        let before = self.leases.count();
        // No instance owns more than an equal part of those that are known here.
        let part = lease.part.clamp(0.0, self.owner.part());
        if lease.is_leased {
            self.hold(&lease.from, part, until, now);
        }
        self.take_credit(&lease.from, lease.incarnation, part, lease.credit, now);
        self.leases.count() > before
    }

    /// Interval between the offers of a home.
    pub fn offer_interval(&self) -> Duration {
        crate::offer_interval(self.members.len())
    }

    /// Duration of the leases that this home asks for.
    fn lease_time(&self) -> Duration {
        lease_time(self.members.len())
    }

    fn hold(&mut self, from: &InstanceName, part: f64, until: Moment, now: Moment) {
        if !self.leases.renew(from, part, until) {
            self.settle(now);
            self.leases.insert(from.clone(), part, until);
            self.settle(now);
        }
    }

    /// Counts the tokens that come with a part, once for each process start of its owner.
    fn take_credit(
        &mut self,
        from: &InstanceName,
        incarnation: Incarnation,
        part: f64,
        credit: Credit,
        now: Moment,
    ) {
        if credit != Credit::None
            && self.credited.insert(from.clone(), incarnation) != Some(incarnation)
        {
            self.add_credit(part, credit, now);
        }
    }

    fn add_credit(&mut self, part: f64, credit: Credit, now: Moment) {
        let holding = self.holding(now);
        for account in self.accounts.values_mut() {
            let limit = account.bucket.limit();
            match credit {
                Credit::None => {}
                Credit::Start => account.bucket.add_credit(limit.start * part, holding),
                // Instances that don't know all others yet take their parts for larger ones.
                Credit::Full => account.bucket.credit(limit.capacity * part, holding),
            }
        }
    }

    /// Decides on a new request of a team.
    pub fn admit(&mut self, team: &str, now: Moment) -> Verdict {
        if let Some(account) = self.accounts.get_mut(team) {
            account.bucket.count_request(now);
        }
        let wait = if self.is_starting(now) {
            START_WAIT
        } else {
            WAIT_TIME
        };
        self.decide(team, now + wait, now)
    }

    /// Whether this process has just started, and holds too little to know of any team whether it is over
    /// its allowance.
    fn is_starting(&self, now: Moment) -> bool {
        now.saturating_sub(self.started) < START_TIME && !self.is_known(now)
    }

    /// Decides again on a request that waits until the given time at most.
    pub fn decide(&mut self, team: &str, until: Moment, now: Moment) -> Verdict {
        self.advance(now);
        let circumstances = Circumstances {
            holding: self.holding(now),
            rounds: Questions::rounds(self.others.len()),
            until,
            is_over: self.is_known(now),
            is_starting: self.is_starting(now),
            part_due: 1.0 / self.homes.len().max(1) as f64,
        };
        let Some(account) = self.accounts.get_mut(team) else {
            return Verdict::Admitted;
        };
        let step = account.decide(circumstances);
        if matches!(step, Step::AdmitAndAsk | Step::Ask) {
            self.ask(team, now);
        }
        match step {
            Step::Admit | Step::AdmitAndAsk => Verdict::Admitted,
            Step::Ask | Step::Wait => Verdict::Wait(until),
            Step::Refuse(refusal) => Verdict::Refused(refusal),
        }
    }

    /// Whether tokens that lack here lack everywhere.
    fn is_known(&self, now: Moment) -> bool {
        if self.is_home() {
            let due = (self.assigned.len() + 1) as f64 * self.owner.part();
            return self.leases.total() >= due * KNOWN_SHARE && due > 0.0;
        }
        let recent = |at| now.saturating_sub(at) <= ANSWER_AGE_MAX;
        self.answered.is_some_and(recent)
    }

    fn ask(&mut self, team: &str, now: Moment) {
        let Some((team, _)) = self.accounts.get_key_value(team) else {
            return;
        };
        let team = team.clone();
        let targets = self.questions.targets(&self.others);
        let serial = self.questions.add(targets.clone(), now);
        let Some(account) = self.accounts.get_mut(&team) else {
            return;
        };
        let needed = account.needed(now);
        account.begin_question(serial, now);
        let each = needed.min(needed * SPREAD / targets.len() as f64);
        for target in targets {
            let question = Question {
                from: self.identity.name.clone(),
                incarnation: self.identity.incarnation,
                serial,
                wanted: vec![(team.clone(), each)],
            };
            self.outbox.push((target, question));
        }
    }

    /// Questions to send.
    pub fn take_questions(&mut self) -> Vec<(InstanceName, Question)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the tokens that another instance asks for, as far as they are not needed here.
    pub fn handle_question(&mut self, question: &Question, now: Moment) -> Grant {
        self.advance(now);
        let holding = self.holding(now);
        let mut granted = Vec::with_capacity(question.wanted.len());
        for (team, wanted) in &question.wanted {
            let account = self.accounts.get_mut(team);
            let tokens = account.map_or(0.0, |account| account.lend(*wanted, holding));
            granted.push((team.clone(), tokens));
        }
        Grant {
            from: self.identity.name.clone(),
            incarnation: question.incarnation,
            serial: question.serial,
            granted,
            is_known: self.is_known(now),
        }
    }

    /// Handles the response to a question. Returns whether requests that wait should be decided again.
    pub fn handle_grant(&mut self, grant: &Grant, now: Moment) -> bool {
        if grant.incarnation != self.identity.incarnation {
            return false;
        }
        let Some(complete) = self.questions.close(grant.serial, &grant.from, now) else {
            return false;
        };
        self.advance(now);
        if grant.is_known {
            self.answered = Some(now);
        }
        let holding = self.holding(now);
        let rounds = Questions::rounds(self.others.len());
        for (team, tokens) in &grant.granted {
            let Some(account) = self.accounts.get_mut(team) else {
                continue;
            };
            account.add_loan(*tokens, holding);
            if complete {
                account.complete(grant.serial, rounds, now);
            }
        }
        true
    }

    /// Gives the token of a request back that was taken at the given time, and that no server has
    /// executed.
    pub fn give_back(&mut self, team: &str, taken: Moment, now: Moment) {
        if now.saturating_sub(taken) > GIVE_BACK_TIME {
            return;
        }
        self.advance(now);
        let holding = self.holding(now);
        if let Some(account) = self.accounts.get_mut(team) {
            account.bucket.give_back(holding);
        }
    }
}
