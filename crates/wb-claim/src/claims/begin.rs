//! Beginning and ending work.

use wb_types::id::Moment;

use super::Answer;
use super::Begin;
use super::Claims;
use super::Due;
use super::End;
use super::Entry;
use crate::Ticket;

impl Claims {
    /// Asks to run work under a ticket. `target` is the method and path of the work.
    pub fn begin(&mut self, ticket: &Ticket, caller: &str, target: &str, now: Moment) -> Begin {
        self.expire(now);
        let mine =
            ticket.issuer == self.options.me && ticket.incarnation == self.options.incarnation;
        let closed = self.closed;
        let Some(entry) = self.entries.get_mut(ticket) else {
            return if mine {
                Begin::Missing
            } else {
                Begin::Ask(ticket.issuer.clone())
            };
        };
        let other = entry.target.as_deref().is_some_and(|known| known != target);
        if &*entry.caller != caller || other {
            return Begin::Mismatch;
        }
        if closed && entry.machine.state() == "new" {
            return Begin::Missing;
        }
        entry.begin(target)
    }

    /// Ends work that [`Claims::begin`] let run.
    pub fn finish(&mut self, ticket: &Ticket, end: End, now: Moment) {
        let room = self.options.bytes.saturating_sub(self.bytes);
        let Some(entry) = self.entries.get_mut(ticket) else {
            return;
        };
        match end {
            End::Done(answer) => {
                if entry.machine.step("finish").is_none() {
                    return;
                }
                entry.answer = answer.filter(|answer| size(answer) <= room);
                self.bytes += entry.answer.as_ref().map_or(0, size);
            }
            End::NotRun => {
                entry.machine.step("not_run");
            }
            End::Unknown => {
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
    fn begin(&mut self, target: &str) -> Begin {
        match self.machine.state() {
            "new" => {
                self.machine.step("start");
                self.target = Some(target.to_owned());
                Begin::Run
            }
            "running" => Begin::InProgress,
            "done" => match &self.answer {
                Some(answer) => Begin::Replay(answer.clone()),
                None => Begin::Ran,
            },
            "moved" => match &self.holder {
                Some(holder) => Begin::Moved(holder.name.clone()),
                None => Begin::Unknown,
            },
            _ => Begin::Unknown,
        }
    }
}

/// Bytes that an answer takes.
pub(super) fn size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let text: usize = headers
        .map(|header| header.name.len() + header.value.len())
        .sum();
    answer.body.len() + text
}
