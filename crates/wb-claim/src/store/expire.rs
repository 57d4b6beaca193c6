//! Forgetting old records.

use wb_types::id::Moment;

use super::TicketStore;
use super::begin::size;

impl TicketStore {
    /// Forgets records that nothing has touched for their life, by this process's own clock.
    /// Running work is never forgotten.
    pub fn expire(&mut self, now: Moment) {
        while let Some(due) = self.dues.front() {
            if now.saturating_sub(due.touched) < self.options.ttl {
                return;
            }
            let due = self.dues.pop_front().expect("the front was just seen");
            let Some(entry) = self.entries.get(&due.ticket) else {
                continue;
            };
            if entry.touched != due.touched || entry.machine.state() == "running" {
                continue;
            }
            self.bytes -= entry.answer.as_ref().map_or(0, size);
            self.entries.remove(&due.ticket);
        }
    }
}
