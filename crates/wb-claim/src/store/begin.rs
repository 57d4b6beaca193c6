//! Beginning and ending work.

use wb_types::id::Moment;

use super::BeginOutcome;
use super::Completion;
use super::Due;
use super::Entry;
use super::StoredResponse;
use super::TicketStore;
use crate::Ticket;

impl TicketStore {
    /// Asks to run work under a ticket. `target` is the method and path of the work.
    pub fn begin(
        &mut self,
        ticket: &Ticket,
        caller: &str,
        target: &str,
        now: Moment,
    ) -> BeginOutcome {
        self.expire(now);
        let mine = ticket.issuer == self.options.instance
            && ticket.incarnation == self.options.incarnation;
        let closed = self.closed;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return if mine {
                BeginOutcome::Missing
            } else {
                BeginOutcome::AskIssuer(ticket.issuer.clone())
            };
        };
        let other = entry.target.as_deref().is_some_and(|known| known != target);
        if &*entry.caller != caller || other {
            return BeginOutcome::Mismatch;
        }
        if closed && entry.machine.state() == "new" {
            return BeginOutcome::Missing;
        }
        entry.begin(target)
    }

    /// Ends work that [`Claims::begin`] let run.
    pub fn finish(&mut self, ticket: &Ticket, end: Completion, now: Moment) {
        let room = self.options.max_bytes.saturating_sub(self.bytes);
        let Some(entry) = self.entries.get_mut(ticket) else {
            return;
        };
        match end {
            Completion::Done(answer) => {
                if entry.machine.step("finish").is_none() {
                    return;
                }
                entry.answer = answer.filter(|answer| size(answer) <= room);
                self.bytes += entry.answer.as_ref().map_or(0, size);
            }
            Completion::NotRun => {
                entry.machine.step("not_run");
            }
            Completion::Unknown => {
                entry.machine.step("lose");
            }
        }
        entry.touched = now;
        self.dues.push_back(Due {
            ticket: ticket.clone(),
            touched: now,
        });
    }
}

impl Entry {
    fn begin(&mut self, target: &str) -> BeginOutcome {
        match self.machine.state() {
            "new" => {
                self.machine.step("start");
                self.target = Some(target.to_owned());
                BeginOutcome::Run
            }
            "running" => BeginOutcome::InProgress,
            "done" => match &self.answer {
                Some(answer) => BeginOutcome::Replay(answer.clone()),
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

/// Bytes that an answer takes.
pub(super) fn size(answer: &StoredResponse) -> usize {
    let headers = answer.headers.iter();
    let text: usize = headers
        .map(|header| header.name.len() + header.value.len())
        .sum();
    answer.body.len() + text
}
