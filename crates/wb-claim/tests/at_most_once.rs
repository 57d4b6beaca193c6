//! A request under a ticket runs at most once: random histories of issue, hand-over, loss, restart
//! and leaving over several processes, compared with a version in which every process runs what it
//! receives.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wb_claim::BeginOutcome;
use wb_claim::Completion;
use wb_claim::Handover;
use wb_claim::Options;
use wb_claim::Ticket;
use wb_claim::TicketStore;
use wb_claim::store::Holder;

/// Number of processes in a history.
const PROCESSES: usize = 4;

/// One step of a history.
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    /// A request with a ticket arrives; the reply to a hand-over may be lost.
    Send {
        ticket: usize,
        at: usize,
        lost: bool,
    },
    Finish {
        ticket: usize,
        end: u8,
    },
    Restart(usize),
    /// A process leaves and exports its records, which may not arrive.
    Leave {
        at: usize,
        successor: usize,
        arrives: bool,
    },
    /// Advances the clock by a number of seconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let process = || 0..PROCESSES;
    prop_oneof![
        3 => process().prop_map(Step::Issue),
        12 => (0..40usize, process(), any::<bool>())
            .prop_map(|(ticket, at, lost)| Step::Send { ticket, at, lost }),
        5 => (0..40usize, 0..3u8).prop_map(|(ticket, end)| Step::Finish { ticket, end }),
        1 => process().prop_map(Step::Restart),
        1 => (process(), process(), any::<bool>())
            .prop_map(|(at, successor, arrives)| Step::Leave { at, successor, arrives }),
        1 => (1..400u64).prop_map(Step::Advance),
    ]
}

/// A ticket, the process that runs its request, and how often the request may have run.
struct Issued {
    ticket: Ticket,
    running: Option<usize>,
    runs: u32,
}

/// The processes, the tickets that they issued, and the clock.
struct World {
    processes: Vec<TicketStore>,
    incarnations: Vec<u64>,
    tickets: Vec<Issued>,
    now: Duration,
}

fn new_store(index: usize, incarnation: u64) -> TicketStore {
    TicketStore::new(Options {
        instance: format!("p{index}").into(),
        incarnation,
        ttl: Duration::from_secs(600),
        max_records: 1000,
        max_bytes: 1 << 20,
        seed: incarnation,
    })
}

impl World {
    fn new() -> Self {
        Self {
            processes: (0..PROCESSES).map(|index| new_store(index, 1)).collect(),
            incarnations: vec![1; PROCESSES],
            tickets: Vec::new(),
            now: Duration::ZERO,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Issue(at) => {
                if let Some(ticket) = self.processes[*at].issue(&"c".into(), self.now) {
                    self.tickets.push(Issued {
                        ticket,
                        running: None,
                        runs: 0,
                    });
                }
            }
            Step::Send { ticket, at, lost } => self.send(*ticket, *at, *lost),
            Step::Finish { ticket, end } => self.finish(*ticket, *end),
            Step::Restart(at) => self.restart(*at),
            Step::Leave {
                at,
                successor,
                arrives,
            } => self.leave(*at, *successor, *arrives),
            Step::Advance(secs) => self.now += Duration::from_secs(*secs),
        }
    }

    fn ticket_index(&self, index: usize) -> Option<usize> {
        (!self.tickets.is_empty()).then(|| index % self.tickets.len())
    }

    fn send(&mut self, ticket: usize, at: usize, lost: bool) {
        let Some(index) = self.ticket_index(ticket) else {
            return;
        };
        let ticket = self.tickets[index].ticket.clone();
        let outcome = self.processes[at].begin(&ticket, "c", "POST /", self.now);
        let outcome = match outcome {
            BeginOutcome::AskIssuer(_) if self.ask(&ticket, at, lost) => {
                self.processes[at].begin(&ticket, "c", "POST /", self.now)
            }
            other => other,
        };
        if outcome == BeginOutcome::Run {
            self.tickets[index].runs += 1;
            self.tickets[index].running = Some(at);
        }
    }

    /// Asks all other processes for a ticket; whether one granted it and the reply arrived.
    fn ask(&mut self, ticket: &Ticket, at: usize, lost: bool) -> bool {
        let holder = Holder {
            name: format!("p{at}").into(),
            incarnation: self.incarnations[at],
        };
        for other in (0..PROCESSES).filter(|other| *other != at) {
            let reply = self.processes[other].grant(ticket, &holder, self.now);
            match reply {
                Handover::Granted(_) if lost => return false,
                Handover::Granted(record) => {
                    self.processes[at].import(record, self.now);
                    return true;
                }
                Handover::Missing | Handover::Moved(_) => {}
                _ => return false,
            }
        }
        false
    }

    fn finish(&mut self, ticket: usize, end: u8) {
        let Some(index) = self.ticket_index(ticket) else {
            return;
        };
        let issued = &mut self.tickets[index];
        let Some(at) = issued.running.take() else {
            return;
        };
        let completion = match end {
            0 => Completion::Done(None),
            1 => Completion::Unknown,
            _ => {
                issued.runs -= 1;
                Completion::NotRun
            }
        };
        self.processes[at].finish(&issued.ticket, completion, self.now);
    }

    fn restart(&mut self, at: usize) {
        self.incarnations[at] += 1;
        self.processes[at] = new_store(at, self.incarnations[at]);
        for issued in &mut self.tickets {
            issued.running = issued.running.filter(|running| *running != at);
        }
    }

    fn leave(&mut self, at: usize, successor: usize, arrives: bool) {
        if at == successor {
            return;
        }
        self.processes[at].close();
        if arrives {
            let holder = Holder {
                name: format!("p{successor}").into(),
                incarnation: 0,
            };
            for record in self.processes[at].export(&holder) {
                self.processes[successor].import(record, self.now);
            }
        }
    }
}

#[test]
fn random_histories_run_each_ticket_at_most_once() {
    let config = Config {
        cases: 2000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 0..200);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new();
        for step in &steps {
            world.apply(step);
            let max_runs = world.tickets.iter().map(|issued| issued.runs).max();
            prop_assert!(max_runs.unwrap_or(0) <= 1, "a ticket ran twice at {step:?}");
        }
        Ok(())
    });
    result.expect("no ticket runs twice");
}

/// Every process runs a ticket that it has not seen itself: a ticket that is sent to two processes
/// runs twice.
#[test]
fn the_naive_version_runs_tickets_twice() {
    let mut seen: HashMap<(usize, usize), u32> = HashMap::new();
    let sends = [(0, 0), (0, 1), (1, 2), (1, 2)];
    let mut runs: HashMap<usize, u32> = HashMap::new();
    for (ticket, at) in sends {
        let count = seen.entry((ticket, at)).or_default();
        if *count == 0 {
            *runs.entry(ticket).or_default() += 1;
        }
        *count += 1;
    }
    assert_eq!(runs[&0], 2);
}
