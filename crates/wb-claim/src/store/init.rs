//! Issuing tickets.

use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_chart::Chart;
use wb_chart::Machine;
use wb_types::id::CallerName;
use wb_types::id::Moment;

use super::Due;
use super::Entry;
use super::Options;
use super::TicketStore;
use crate::Ticket;

/// The chart that records follow.
const CHART: &str = include_str!("../../../../charts/ticket.yaml");

impl TicketStore {
    /// No records.
    pub fn new(options: Options) -> Self {
        let chart = Chart::parse(CHART).expect("the chart is tested");
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            chart: Arc::new(chart),
            entries: Default::default(),
            dues: Default::default(),
            issued: 0,
            bytes: 0,
            closed: false,
        }
    }

    /// Issues a ticket to a caller; `None` while the process leaves or holds all the records
    /// that it may.
    pub fn issue(&mut self, caller: &CallerName, now: Moment) -> Option<Ticket> {
        self.expire(now);
        if self.closed || self.entries.len() >= self.options.max_records {
            return None;
        }
        self.issued += 1;
        let ticket = Ticket {
            issuer: self.options.instance.clone(),
            incarnation: self.options.incarnation,
            number: self.issued,
            nonce: self.rng.random(),
        };
        self.put(ticket.clone(), caller.clone(), now);
        Some(ticket)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn put(&mut self, ticket: Ticket, caller: CallerName, now: Moment) {
        let entry = Entry {
            caller,
            machine: Machine::new(self.chart.clone()),
            target: None,
            answer: None,
            holder: None,
            touched: now,
        };
        self.entries.insert(ticket.clone(), entry);
        self.dues.push_back(Due {
            ticket,
            touched: now,
        });
    }
}
