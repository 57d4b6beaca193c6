//! Body bytes at the servers, and what they can hold.

use wb_types::id::InstanceName;
use wb_types::id::Moment;
use wb_types::id::ServerName;

use super::Balancer;
use super::RequestInfo;
use super::ServerEntry;
use super::ServerKey;

impl Balancer {
    /// Whether a server may get the body of a request.
    pub(super) fn admits_body(
        &self,
        entry: &ServerEntry,
        request: &RequestInfo,
        now: Moment,
    ) -> bool {
        request.body == 0
            || self
                .byte_limit
                .admits(entry.bytes.total(now), request.body, now)
    }

    /// Extra cost of a server for the body of a request, in average durations.
    pub(super) fn body_cost(&self, entry: &ServerEntry, body: u64, now: Moment) -> f64 {
        if body == 0 {
            return 0.0;
        }
        self.byte_limit.cost(entry.bytes.total(now), body, now)
    }

    /// Ends the body of a request that was assigned to a server. `answered` is whether the server has
    /// answered the request.
    pub fn finish_body(&mut self, key: ServerKey, body: u64, answered: bool, now: Moment) {
        let Some(entry) = self.servers.get_mut(key).filter(|_| body > 0) else {
            return;
        };
        if answered {
            self.byte_limit.record_answer(entry.bytes.total(now));
        }
        entry.bytes.give_back(body, now);
    }

    /// Bytes that a server holds or held a moment ago; 0 if it is not listed.
    pub fn peak_bytes(&self, key: ServerKey, now: Moment) -> u64 {
        let entry = self.servers.get(key);
        entry.map_or(0, |entry| entry.bytes.peak(now))
    }

    /// Records that a server ended while it held `held` bytes, `body` of them of the request that is
    /// asked about. Returns whether the bytes may be the cause; then less is sent to the servers.
    pub fn record_end(&mut self, held: u64, body: u64, now: Moment) -> bool {
        self.byte_limit.record_end(held, body, now)
    }

    /// Most bytes that are sent to a server at a time; `None` if nothing is known.
    pub fn byte_limit(&self, now: Moment) -> Option<u64> {
        self.byte_limit.get(now)
    }

    /// Whether peers have to know of a body at once.
    pub fn is_urgent_body(&self, body: u64, now: Moment) -> bool {
        self.byte_limit.is_urgent(body, now)
    }

    /// Lowers that limit to one that a peer has reported. Returns whether it changed.
    pub fn lower_byte_limit(&mut self, bytes: u64, now: Moment) -> bool {
        self.byte_limit.lower(bytes, now)
    }

    /// Own bytes in flight that peers are to be told: all if `all`, otherwise those that have changed.
    pub fn report_bytes(&mut self, all: bool) -> Vec<(ServerName, u64)> {
        let entries = self.servers.values_mut();
        let reports = entries.filter_map(|entry| {
            let bytes = entry.bytes.report(all)?;
            Some((entry.server.name.clone(), bytes))
        });
        reports.collect()
    }

    /// Sets what a peer has in flight at a server, in bytes.
    pub fn set_peer_bytes(
        &mut self,
        from: &InstanceName,
        server: &ServerName,
        bytes: u64,
        now: Moment,
    ) {
        if let Some(entry) = self.by_name(server) {
            entry.bytes.set_peer(from, bytes, now);
        }
    }
}
