//! Start and completion of requests under a ticket.

use wb_types::id::Moment;

use super::BeginOutcome;
use super::Completion;
use super::ExpiryEntry;
use super::StoredResponse;
use super::TicketEntry;
use super::TicketStore;
use crate::Ticket;

impl TicketStore {
    /// Decides whether a request may run under a ticket. `target` is its method and path.
    pub fn begin(
        &mut self,
        ticket: &Ticket,
        caller: &str,
        target: &str,
        now: Moment,
    ) -> BeginOutcome {
        self.expire(now);
        let issued_here = ticket.issuer == self.options.instance
            && ticket.incarnation == self.options.incarnation;
        let closed = self.closed;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return if issued_here {
                BeginOutcome::Missing
            } else {
                BeginOutcome::AskIssuer(ticket.issuer.clone())
            };
        };
        let target_differs = entry.target.as_deref().is_some_and(|known| known != target);
        if &*entry.caller != caller || target_differs {
            return BeginOutcome::Mismatch;
        }
        if closed && entry.machine.state() == "new" {
            return BeginOutcome::Missing;
        }
        entry.begin(target)
    }

    /// Records the end of a request that [`TicketStore::begin`] allowed to run. A response that
    /// would exceed [`Options::max_bytes`](super::Options::max_bytes) is not kept.
    pub fn finish(&mut self, ticket: &Ticket, completion: Completion, now: Moment) {
        let free_bytes = self.options.max_bytes.saturating_sub(self.response_bytes);
        let Some(entry) = self.entries.get_mut(ticket) else {
            return;
        };
        match completion {
            Completion::Done(response) => {
                if entry.machine.step("finish").is_none() {
                    return;
                }
                entry.response = response.filter(|response| response_size(response) <= free_bytes);
                self.response_bytes += entry.response.as_ref().map_or(0, response_size);
            }
            Completion::NotRun => {
                entry.machine.step("not_run");
            }
            Completion::Unknown => {
                entry.machine.step("lose");
            }
        }
        entry.last_update = now;
        self.expiry_queue.push_back(ExpiryEntry {
            ticket: ticket.clone(),
            last_update: now,
        });
    }
}

impl TicketEntry {
    fn begin(&mut self, target: &str) -> BeginOutcome {
        match self.machine.state() {
            "new" => {
                self.machine.step("start");
                self.target = Some(target.to_owned());
                BeginOutcome::Run
            }
            "running" => BeginOutcome::InProgress,
            "done" => match &self.response {
                Some(response) => BeginOutcome::Replay(response.clone()),
                None => BeginOutcome::ResponseNotKept,
            },
            "moved" => match &self.holder {
                Some(holder) => BeginOutcome::Moved(holder.name.clone()),
                None => BeginOutcome::Unknown,
            },
            _ => BeginOutcome::Unknown,
        }
    }
}

/// Size of a response's headers and body, in bytes.
pub(super) fn response_size(response: &StoredResponse) -> usize {
    let headers = response.headers.iter();
    let header_bytes: usize = headers
        .map(|header| header.name.len() + header.value.len())
        .sum();
    response.body.len() + header_bytes
}
