//! Transfer of tickets between processes.

use serde::Deserialize;
use serde::Serialize;
use wb_chart::Machine;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;

use super::ExpiryEntry;
use super::StoredResponse;
use super::TicketEntry;
use super::TicketRecord;
use super::TicketStore;
use super::begin::response_size;
use crate::Ticket;

/// A process that may run the request of a ticket.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// Name of its instance.
    pub name: InstanceName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Reply to another process that asks for a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Handover {
    /// The asking process holds the ticket now. Asking again gives the same reply.
    Granted(TicketRecord),
    /// The request was run; with the response, if it was kept.
    Ran(Option<StoredResponse>),
    /// The request is running.
    InProgress,
    /// The request may have been run.
    Unknown,
    /// The ticket was granted to a process of the named instance.
    Moved(InstanceName),
    /// This process has no record of the ticket, or is leaving.
    Missing,
}

impl TicketStore {
    /// Replies to another process that asks for a ticket. The grant is bound to the incarnation of
    /// that process: after a restart it is not granted the same ticket again, because the request
    /// may have begun before.
    pub fn grant(&mut self, ticket: &Ticket, to: &Holder, now: Moment) -> Handover {
        self.expire(now);
        let closed = self.closed;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return Handover::Missing;
        };
        match entry.machine.state() {
            "new" if closed => Handover::Missing,
            "new" => {
                entry.machine.step("move");
                entry.holder = Some(to.clone());
                Handover::Granted(to_record(ticket, entry, "new"))
            }
            "moved" => match &entry.holder {
                Some(holder) if holder == to => Handover::Granted(to_record(ticket, entry, "new")),
                Some(holder) if holder.name == to.name => Handover::Unknown,
                Some(holder) => Handover::Moved(holder.name.clone()),
                None => Handover::Unknown,
            },
            "running" => Handover::InProgress,
            "done" => Handover::Ran(entry.response.clone()),
            _ => Handover::Unknown,
        }
    }

    /// Adds a record that another process transferred. An existing record stays as it is.
    pub fn import(&mut self, record: TicketRecord, now: Moment) {
        if self.entries.contains_key(&record.ticket) {
            return;
        }
        let mut machine = Machine::new(self.chart.clone());
        for event in events_to(&record.state) {
            machine.step(event);
        }
        self.response_bytes += record.response.as_ref().map_or(0, response_size);
        let entry = TicketEntry {
            caller: record.caller,
            machine,
            target: record.target,
            response: record.response,
            holder: None,
            last_update: now,
        };
        self.entries.insert(record.ticket.clone(), entry);
        self.expiry_queue.push_back(ExpiryEntry {
            ticket: record.ticket,
            last_update: now,
        });
    }

    /// Closes the store: no ticket is issued or granted and no request begins any more.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Exports all records whose requests are not running to a successor. The successor holds the
    /// tickets that have not begun from now on, whether or not the records reach it.
    pub fn export(&mut self, successor: &Holder) -> Vec<TicketRecord> {
        let mut records = Vec::new();
        for (ticket, entry) in &mut self.entries {
            let state = entry.machine.state().to_owned();
            if !matches!(state.as_str(), "new" | "done" | "unknown") {
                continue;
            }
            records.push(to_record(ticket, entry, &state));
            if entry.machine.step("move").is_some() {
                entry.holder = Some(successor.clone());
            }
        }
        records
    }

    /// Whether a request under any ticket is running.
    pub fn has_running(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.machine.state() == "running")
    }
}

fn to_record(ticket: &Ticket, entry: &TicketEntry, state: &str) -> TicketRecord {
    TicketRecord {
        ticket: ticket.clone(),
        caller: entry.caller.clone(),
        state: state.to_owned(),
        target: entry.target.clone(),
        response: entry.response.clone(),
    }
}

/// Events that take a new record to a state.
fn events_to(state: &str) -> &'static [&'static str] {
    match state {
        "new" => &[],
        "done" => &["start", "finish"],
        _ => &["start", "lose"],
    }
}
