//! Expiry of old records.

use wb_types::id::Moment;

use super::TicketStore;
use super::begin::response_size;

impl TicketStore {
    /// Removes records that were not updated for [`Options::ttl`](super::Options::ttl), by this
    /// process's own clock. Records of running requests never expire.
    pub fn expire(&mut self, now: Moment) {
        while let Some(oldest) = self.expiry_queue.front() {
            if now.saturating_sub(oldest.last_update) < self.options.ttl {
                return;
            }
            let oldest = self
                .expiry_queue
                .pop_front()
                .expect("the queue is not empty");
            let Some(entry) = self.entries.get(&oldest.ticket) else {
                continue;
            };
            if entry.last_update != oldest.last_update || entry.machine.state() == "running" {
                continue;
            }
            self.response_bytes -= entry.response.as_ref().map_or(0, response_size);
            self.entries.remove(&oldest.ticket);
        }
    }
}
