//! Checks the fleet's guarantees against what callers and backend servers recorded.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use wb_stand::published::server::Crash;

use crate::caller::CallerResult;
use crate::caller::Results;
use crate::cuts;
use crate::faults::Fault;
use crate::faults::INSTANCE_FAULTS;
use crate::faults::PLANNED;
use crate::faults::STOPS;
use crate::testbed::Testbed;

/// Time after which a server that announced that it leaves must get no new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(2);
/// Time for which a fault still excuses requests after it is over.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Faults of the store, whose acknowledgements bind nobody meanwhile.
const STORE_FAULTS: [&str; 4] = [
    "store_unavailable",
    "store_hangs",
    "store_loses_responses",
    "store_restored",
];
/// Time after a server asked an instance for a pause from which requests of the instance count.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Requests of an instance that may reach a server in a pause.
const PAUSE_REQUESTS_MAX: usize = 2;
/// Window in which the requests to a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Ratio of the requests that are allowed in a window to what the limit allows.
const LIMIT_TOLERANCE: f64 = 1.5;
/// Requests that are allowed in a window beyond that.
const LIMIT_SLACK: f64 = 5.0;
/// Time after the last fault from which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Share of the requests sent after `RECOVERY_TIME` that must be served.
const SERVED_SHARE_MIN: f64 = 0.9;

/// Servers that a request may end until it must be known.
const CRASHES_MAX: usize = 3;
/// Times that it may be sent after that.
const CRASHING_SENDS_MAX: usize = 3;

/// Results of one run.
#[derive(Debug)]
pub struct Report {
    /// Seed of the faults.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests answered with status 200.
    pub served: usize,
    /// Number of requests refused with status 429 or 503.
    pub refused: usize,
    /// Number of injected faults.
    pub faults: usize,
    /// Violated guarantees, each with the request or server concerned.
    pub violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let failed = self.requests - self.served - self.refused;
        write!(
            f,
            "seed {}: {} requests, {} served, {} refused, {failed} failed, {} faults, {} violations",
            self.seed,
            self.requests,
            self.served,
            self.refused,
            self.faults,
            self.violations.len()
        )?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        Ok(())
    }
}

/// Checks all guarantees. `faults_ended` is when the last fault was over.
pub fn check(
    testbed: &Testbed,
    results: &Results,
    faults: &[Fault],
    faults_ended: Instant,
) -> Report {
    let mut violations = Vec::new();
    for result in results.usual.iter().chain(&results.leavers) {
        violations.extend(check_request(testbed, result));
        violations.extend(check_team(testbed, result));
    }
    let Results {
        usual: results,
        crashing,
        leavers,
    } = results;
    let mut senders = senders(testbed, results);
    senders.extend(self::senders(testbed, leavers));
    violations.extend(check_leaving(testbed, &senders, faults));
    violations.extend(check_limits(testbed, faults));
    violations.extend(check_statements(testbed, results, &senders, faults));
    violations.extend(check_pauses(testbed, faults));
    violations.extend(check_answers(testbed, results, faults));
    violations.extend(check_recovery(results, faults_ended));
    violations.extend(check_crashing(testbed, crashing, faults));
    violations.extend(cuts::check_path_cuts(testbed, results, faults));
    let count = |accepts: fn(u16) -> bool| {
        let accepted = |result: &&CallerResult| result.status.is_some_and(accepts);
        results.iter().filter(accepted).count()
    };
    Report {
        seed: testbed.options.seed,
        requests: results.len(),
        served: count(|status| status == 200),
        refused: count(|status| status == 503 || status == 429),
        faults: faults.len(),
        violations,
    }
}

/// Checks that servers got the name of the caller's team with a request, and no key, and that the key
/// was known; without teams, that no team was named.
fn check_team(testbed: &Testbed, result: &CallerResult) -> Option<String> {
    let id = &result.id;
    if result.status == Some(401) {
        return Some(format!("{id}: refused though its key stays"));
    }
    let want = testbed.options.teams.then_some(result.team);
    let runs = testbed.ledger.runs(id);
    let wrong = runs
        .iter()
        .find(|run| run.has_key || run.team.as_deref() != want);
    wrong.map(|run| {
        let (team, key) = (&run.team, run.has_key);
        format!("{id}: ran with team {team:?} instead of {want:?}, with a key: {key}")
    })
}

/// Checks one request: a success is the complete response to this request, a request that must not
/// be repeated ran at most once (not at all if it was reported as not run), and only servers of the
/// routed service ran it.
fn check_request(testbed: &Testbed, result: &CallerResult) -> Option<String> {
    let runs = testbed.ledger.runs(&result.id);
    let id = &result.id;
    if result.status == Some(200) && !result.valid {
        return Some(format!(
            "{id}: status 200 without the complete response to this request"
        ));
    }
    if result.once && runs.len() > 1 {
        return Some(format!("{id}: ran {} times", runs.len()));
    }
    let refused = matches!(result.status, Some(408 | 421 | 429 | 503));
    if result.once && refused && !runs.is_empty() {
        return Some(format!("{id}: reported as not run, but ran"));
    }
    let misrouted = runs.iter().find(|run| run.service != "registry");
    misrouted.map(|run| {
        format!(
            "{id}: ran on server {} of the wrong service {}",
            run.server, run.service
        )
    })
}

/// Index of the instance to which each request was sent.
type Senders<'a> = HashMap<&'a str, usize>;

/// Index of each instance, by its address.
fn indexes(testbed: &Testbed) -> HashMap<IpAddr, usize> {
    let instances = testbed.instances.iter().enumerate();
    let indexes = instances.map(|(index, instance)| (instance.ip, index));
    indexes.collect()
}

/// Instances that sent a request to a server: it may have been passed on to them.
fn sent_by(
    testbed: &Testbed,
    indexes: &HashMap<IpAddr, usize>,
    server: &str,
    id: &str,
) -> Vec<usize> {
    let mut backends = testbed.backends.iter();
    let backend = backends.find(|backend| backend.server.id() == server);
    let arrivals = backend.map_or_else(Vec::new, |backend| backend.server.arrivals());
    let sent = arrivals.iter().filter(|arrival| arrival.id == id);
    sent.filter_map(|arrival| indexes.get(&arrival.from).copied())
        .collect()
}

pub(crate) fn senders<'a>(testbed: &Testbed, results: &'a [CallerResult]) -> Senders<'a> {
    let indexes = indexes(testbed);
    let sender = |result: &'a CallerResult| {
        let index = indexes.get(&result.instance.ip())?;
        Some((result.id.as_str(), *index))
    };
    results.iter().filter_map(sender).collect()
}

/// Checks that a leaving server gets no new requests after `LEAVING_GRACE`, unless the store, the
/// instance that sent the request or its link to the server was disturbed.
fn check_leaving(testbed: &Testbed, senders: &Senders<'_>, faults: &[Fault]) -> Vec<String> {
    let mut violations = Vec::new();
    let runs = testbed.ledger.all();
    for (index, backend) in testbed.backends.iter().enumerate() {
        let Some(leaving_since) = backend.leaving_since else {
            continue;
        };
        for (id, runs) in &runs {
            let sender = senders.get(id.as_str());
            let excuses = |fault: &Fault| {
                let is_sender = sender.is_some_and(|sender| fault.instances.contains(sender));
                let is_link = fault.name == "server_cut" && fault.servers.contains(&index);
                is_sender || is_link || STORE_FAULTS.contains(&fault.name)
            };
            let late = runs.iter().find(|run| {
                run.server == backend.server.id()
                    && run.started > leaving_since + LEAVING_GRACE
                    && is_undisturbed(faults, excuses, leaving_since, run.started)
            });
            if let Some(run) = late {
                let after = run.started - leaving_since;
                violations.push(format!(
                    "{id}: ran on server {} {after:?} after it announced that it leaves",
                    run.server
                ));
            }
        }
    }
    violations
}

/// Checks that an instance that has passed on a response in which a server says that it is leaving
/// sends the server nothing after `LEAVING_GRACE`, unless the instance was stopped or the server has
/// started again.
fn check_statements(
    testbed: &Testbed,
    results: &[CallerResult],
    senders: &Senders<'_>,
    faults: &[Fault],
) -> Vec<String> {
    let indexes = indexes(testbed);
    let mut told: HashMap<(usize, &str), Vec<Instant>> = HashMap::new();
    for result in results {
        let Some((at, server)) = &result.leaving else {
            continue;
        };
        let passed = senders.get(result.id.as_str()).copied();
        let sent = sent_by(testbed, &indexes, server, &result.id);
        for instance in passed.into_iter().chain(sent) {
            told.entry((instance, server)).or_default().push(*at);
        }
    }
    let mut violations = Vec::new();
    for backend in &testbed.backends {
        let server = backend.server.id();
        let restarts = backend.server.restarts();
        for arrival in backend.server.arrivals() {
            let Some(sender) = indexes.get(&arrival.from) else {
                continue;
            };
            let stops =
                |fault: &Fault| STOPS.contains(&fault.name) && fault.instances.contains(sender);
            let is_late = |told: &Instant| {
                let process = *told..arrival.at;
                arrival.at > *told + LEAVING_GRACE
                    && !restarts.iter().any(|restart| process.contains(restart))
                    && is_undisturbed(faults, stops, *told, arrival.at)
            };
            let told = told.get(&(*sender, server));
            let late = told.is_some_and(|told| told.iter().any(is_late));
            if late {
                violations.push(format!(
                    "{}: reached server {server} after its instance had passed on that it leaves",
                    arrival.id
                ));
            }
        }
    }
    violations
}

/// Checks that a server gets next to nothing from an instance that it has asked for a pause, unless
/// the instance was stopped, restarted or cut off, or the server's link may have lost what it asked.
fn check_pauses(testbed: &Testbed, faults: &[Fault]) -> Vec<String> {
    let mut violations = Vec::new();
    let indexes = indexes(testbed);
    for (index, backend) in testbed.backends.iter().enumerate() {
        let arrivals = backend.server.arrivals();
        for asked in &arrivals {
            let sender = indexes.get(&asked.from);
            let (Some((at, length)), Some(sender)) = (asked.pause, sender) else {
                continue;
            };
            let in_pause = arrivals.iter().filter(|arrival| {
                arrival.at > at + PAUSE_GRACE
                    && arrival.at < at + length
                    && arrival.from == asked.from
            });
            let count = in_pause.count();
            let disturbs = |fault: &Fault| {
                let is_link = fault.name == "server_cut" && fault.servers.contains(&index);
                is_link || fault.instances.contains(sender)
            };
            if count > PAUSE_REQUESTS_MAX && is_undisturbed(faults, disturbs, at, at + length) {
                violations.push(format!(
                    "server {} got {count} requests of an instance that it had asked for a pause of {length:?}",
                    backend.server.id()
                ));
            }
        }
    }
    violations
}

/// Checks that a request that was passed on gets its server's answer unless that takes longer than
/// the request's deadline or the server ends, whatever is stopped or changed meanwhile as planned.
fn check_answers(testbed: &Testbed, results: &[CallerResult], faults: &[Fault]) -> Vec<String> {
    let is_unplanned = |fault: &Fault| !PLANNED.contains(&fault.name);
    let mut violations = Vec::new();
    for result in results {
        let in_time = result.ended_at < result.sent_at + testbed.options.deadline();
        let unanswered = matches!(result.status, None | Some(502 | 504));
        let runs = testbed.ledger.runs(&result.id);
        let ended = |crash: &Crash| {
            let during = result.sent_at <= crash.at && crash.at <= result.ended_at;
            during && runs.iter().any(|run| run.server == crash.server)
        };
        if in_time
            && unanswered
            && !runs.is_empty()
            && !testbed.ledger.crashes().iter().any(ended)
            && is_undisturbed(faults, is_unplanned, result.sent_at, result.ended_at)
        {
            violations.push(format!(
                "{}: ran and was not answered, status {:?}",
                result.id, result.status
            ));
        }
    }
    violations
}

/// Whether no fault that `excuses` was active in a span of time or less than `SETTLE_TIME` before it.
pub(crate) fn is_undisturbed(
    faults: &[Fault],
    excuses: impl Fn(&Fault) -> bool,
    from: Instant,
    to: Instant,
) -> bool {
    let disturbs =
        |fault: &Fault| excuses(fault) && fault.at < to && fault.until + SETTLE_TIME > from;
    !faults.iter().any(disturbs)
}

/// Checks that a server with a limit gets no more in any window than that allows, from `SETTLE_TIME`
/// after it named the limit, unless an instance was stopped, restarted or cut off.
fn check_limits(testbed: &Testbed, faults: &[Fault]) -> Vec<String> {
    let is_of_instance = |fault: &Fault| INSTANCE_FAULTS.contains(&fault.name);
    let mut violations = Vec::new();
    for backend in &testbed.backends {
        let arrivals = backend.server.arrival_times();
        for (index, (named, limit)) in backend.limits.iter().enumerate() {
            let Some(limit) = limit else {
                continue;
            };
            let changed = backend.limits.get(index + 1).map(|(at, _)| *at);
            let in_force = arrivals.iter().filter(|at| {
                **at >= *named + SETTLE_TIME && changed.is_none_or(|changed| **at < changed)
            });
            let in_force: Vec<Instant> = in_force.copied().collect();
            let allowed = LIMIT_TOLERANCE * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
            for start in &in_force {
                let end = *start + LIMIT_WINDOW;
                let within = in_force.iter().filter(|at| *at >= start && **at < end);
                let count = within.count();
                if count as f64 > allowed && is_undisturbed(faults, is_of_instance, *start, end) {
                    violations.push(format!(
                        "server {} with a limit of {limit} a second got {count} requests in {LIMIT_WINDOW:?}",
                        backend.server.id()
                    ));
                    break;
                }
            }
        }
    }
    violations
}

/// Checks that a request that has ended `CRASHES_MAX` servers is hardly sent later than `SETTLE_TIME`
/// after that, by instances that were not disturbed.
fn check_crashing(
    testbed: &Testbed,
    crashing: &[CallerResult],
    faults: &[Fault],
) -> Option<String> {
    let known = testbed.ledger.crashes().get(CRASHES_MAX - 1)?.at + SETTLE_TIME;
    let senders = senders(testbed, crashing);
    let backends = testbed.backends.iter();
    let arrivals = backends.flat_map(|backend| backend.server.arrivals());
    let late = arrivals.filter(|arrival| {
        let Some(sender) = senders.get(arrival.id.as_str()) else {
            return false;
        };
        let disturbs = |fault: &Fault| fault.instances.contains(sender);
        arrival.at > known && is_undisturbed(faults, disturbs, arrival.at, arrival.at)
    });
    let count = late.count();
    (count > CRASHING_SENDS_MAX).then(|| {
        let crashes = testbed.ledger.crashes().len();
        format!("a request that ended {CRASHES_MAX} servers was sent {count} times more; {crashes} ended")
    })
}

/// Checks that requests are served again once all faults are over.
fn check_recovery(results: &[CallerResult], faults_ended: Instant) -> Option<String> {
    let late: Vec<&CallerResult> = results
        .iter()
        .filter(|result| result.sent_at > faults_ended + RECOVERY_TIME)
        .collect();
    let served = late
        .iter()
        .filter(|result| result.status == Some(200))
        .count();
    let share = served as f64 / late.len().max(1) as f64;
    (share < SERVED_SHARE_MIN).then(|| {
        format!(
            "only {served} of {} requests served after the faults",
            late.len()
        )
    })
}
