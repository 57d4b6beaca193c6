//! Work under a ticket runs at most once: random histories over several processes, against a
//! version in which every process runs what it receives.

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

/// Processes in a history.
const PROCESSES: usize = 4;

/// One thing that happens.
#[derive(Clone, Debug)]
enum Step {
    Issue(usize),
    /// A request with a ticket arrives; the answer of a hand-over may be lost.
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
    /// A process leaves and hands over; the answer may be lost, the records may not arrive.
    Leave {
        at: usize,
        heir: usize,
        arrives: bool,
    },
    Pass(u64),
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
            .prop_map(|(at, heir, arrives)| Step::Leave { at, heir, arrives }),
        1 => (1..400u64).prop_map(Step::Pass),
    ]
}

/// A ticket, where it runs now, and how often it may have run.
struct Issued {
    ticket: Ticket,
    running: Option<usize>,
    runs: u32,
}

struct World {
    processes: Vec<TicketStore>,
    incarnations: Vec<u64>,
    tickets: Vec<Issued>,
    now: Duration,
}

fn new_claims(index: usize, incarnation: u64) -> TicketStore {
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
            processes: (0..PROCESSES).map(|index| new_claims(index, 1)).collect(),
            incarnations: vec![1; PROCESSES],
            tickets: Vec::new(),
            now: Duration::ZERO,
        }
    }

    fn take(&mut self, step: &Step) {
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
            Step::Leave { at, heir, arrives } => self.leave(*at, *heir, *arrives),
            Step::Pass(secs) => self.now += Duration::from_secs(*secs),
        }
    }

    fn pick(&self, index: usize) -> Option<usize> {
        (!self.tickets.is_empty()).then(|| index % self.tickets.len())
    }

    fn send(&mut self, ticket: usize, at: usize, lost: bool) {
        let Some(index) = self.pick(ticket) else {
            return;
        };
        let ticket = self.tickets[index].ticket.clone();
        let begun = self.processes[at].begin(&ticket, "c", "POST /", self.now);
        let begun = match begun {
            BeginOutcome::AskIssuer(_) if self.ask(&ticket, at, lost) => {
                self.processes[at].begin(&ticket, "c", "POST /", self.now)
            }
            other => other,
        };
        if begun == BeginOutcome::Run {
            self.tickets[index].runs += 1;
            self.tickets[index].running = Some(at);
        }
    }

    /// Asks all other processes for a ticket.
    fn ask(&mut self, ticket: &Ticket, at: usize, lost: bool) -> bool {
        let holder = Holder {
            name: format!("p{at}").into(),
            incarnation: self.incarnations[at],
        };
        for other in (0..PROCESSES).filter(|other| *other != at) {
            let answer = self.processes[other].grant(ticket, &holder, self.now);
            match answer {
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
        let Some(index) = self.pick(ticket) else {
            return;
        };
        let issued = &mut self.tickets[index];
        let Some(at) = issued.running.take() else {
            return;
        };
        let end = match end {
            0 => Completion::Done(None),
            1 => Completion::Unknown,
            _ => {
                issued.runs -= 1;
                Completion::NotRun
            }
        };
        self.processes[at].finish(&issued.ticket, end, self.now);
    }

    fn restart(&mut self, at: usize) {
        self.incarnations[at] += 1;
        self.processes[at] = new_claims(at, self.incarnations[at]);
        for issued in &mut self.tickets {
            issued.running = issued.running.filter(|running| *running != at);
        }
    }

    fn leave(&mut self, at: usize, heir: usize, arrives: bool) {
        if at == heir {
            return;
        }
        self.processes[at].close();
        if arrives {
            let holder = Holder {
                name: format!("p{heir}").into(),
                incarnation: 0,
            };
            for record in self.processes[at].export(&holder) {
                self.processes[heir].import(record, self.now);
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
            world.take(step);
            let most = world.tickets.iter().map(|issued| issued.runs).max();
            prop_assert!(most.unwrap_or(0) <= 1, "a ticket ran twice at {step:?}");
        }
        Ok(())
    });
    result.expect("no ticket runs twice");
}

/// The same requests where every process runs a ticket that it has not seen itself.
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
