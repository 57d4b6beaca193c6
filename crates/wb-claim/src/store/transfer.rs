//! Handing tickets from one process to another.

use serde::Deserialize;
use serde::Serialize;
use wb_chart::Machine;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::Moment;

use super::Due;
use super::Entry;
use super::StoredResponse;
use super::TicketRecord;
use super::TicketStore;
use super::begin::size;
use crate::Ticket;

/// A process that may let work run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// Its instance.
    pub name: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
}

/// A holder's answer to another process that asks for a ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Handover {
    /// The asker holds the ticket now. Asking again gives the same answer.
    Granted(TicketRecord),
    /// The work was run.
    Ran(Option<StoredResponse>),
    /// The work is running.
    InProgress,
    /// The work may have been run.
    Unknown,
    /// Another process holds the ticket.
    Moved(InstanceName),
    /// No record of it here.
    Missing,
}

impl TicketStore {
    /// Answers another process that asks for a ticket. The grant is bound to that process start:
    /// one that was restarted since is not granted the same ticket again.
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
                Handover::Granted(record(ticket, entry, "new"))
            }
            "moved" => match &entry.holder {
                Some(holder) if holder == to => Handover::Granted(record(ticket, entry, "new")),
                Some(holder) if holder.name == to.name => Handover::Unknown,
                Some(holder) => Handover::Moved(holder.name.clone()),
                None => Handover::Unknown,
            },
            "running" => Handover::InProgress,
            "done" => Handover::Ran(entry.answer.clone()),
            _ => Handover::Unknown,
        }
    }

    /// Takes a record that another process handed over. One that is here already stays as it is.
    pub fn import(&mut self, record: TicketRecord, now: Moment) {
        if self.entries.contains_key(&record.ticket) {
            return;
        }
        let mut machine = Machine::new(self.chart.clone());
        for event in path(&record.state) {
            machine.step(event);
        }
        self.bytes += record.answer.as_ref().map_or(0, size);
        let entry = Entry {
            caller: record.caller,
            machine,
            target: record.target,
            answer: record.answer,
            holder: None,
            touched: now,
        };
        self.entries.insert(record.ticket.clone(), entry);
        self.dues.push_back(Due {
            ticket: record.ticket,
            touched: now,
        });
    }

    /// Lets no more work begin and issues nothing more.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Gives all records that are not running to a successor. Tickets that have not begun are
    /// the successor's from now on, whether or not the records arrive there.
    pub fn export(&mut self, heir: &Holder) -> Vec<TicketRecord> {
        let mut records = Vec::new();
        for (ticket, entry) in &mut self.entries {
            let state = entry.machine.state().to_owned();
            if !matches!(state.as_str(), "new" | "done" | "unknown") {
                continue;
            }
            records.push(record(ticket, entry, &state));
            if entry.machine.step("move").is_some() {
                entry.holder = Some(heir.clone());
            }
        }
        records
    }

    /// Whether work under some ticket is running.
    pub fn has_running(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.machine.state() == "running")
    }
}

fn record(ticket: &Ticket, entry: &Entry, state: &str) -> TicketRecord {
    TicketRecord {
        ticket: ticket.clone(),
        caller: entry.caller.clone(),
        state: state.to_owned(),
        target: entry.target.clone(),
        answer: entry.answer.clone(),
    }
}

/// Events that lead a new record to a state.
fn path(state: &str) -> &'static [&'static str] {
    match state {
        "new" => &[],
        "done" => &["start", "finish"],
        _ => &["start", "lose"],
    }
}
