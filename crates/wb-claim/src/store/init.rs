//! Creation of the store and issue of tickets.

use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wb_chart::Chart;
use wb_chart::Machine;
use wb_types::id::CallerName;
use wb_types::id::Moment;

use super::ExpiryEntry;
use super::Options;
use super::TicketEntry;
use super::TicketStore;
use crate::Ticket;

/// State chart of a ticket record.
const TICKET_CHART: &str = include_str!("../../../../charts/ticket.yaml");

impl TicketStore {
    /// Creates an empty store.
    pub fn new(options: Options) -> Self {
        let chart = Chart::parse(TICKET_CHART).expect("the embedded ticket chart is valid");
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            chart: Arc::new(chart),
            entries: Default::default(),
            expiry_queue: Default::default(),
            issued: 0,
            response_bytes: 0,
            closed: false,
        }
    }

    /// Issues a ticket to a caller; `None` if the store is closed or holds
    /// [`Options::max_records`] records.
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
        self.insert(ticket.clone(), caller.clone(), now);
        Some(ticket)
    }

    /// Number of ticket records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the store holds no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn insert(&mut self, ticket: Ticket, caller: CallerName, now: Moment) {
        let entry = TicketEntry {
            caller,
            machine: Machine::new(self.chart.clone()),
            target: None,
            response: None,
            holder: None,
            last_update: now,
        };
        self.entries.insert(ticket.clone(), entry);
        self.expiry_queue.push_back(ExpiryEntry {
            ticket,
            last_update: now,
        });
    }
}
