//! Digest of a server list, by which instances notice that their lists differ.

use xxhash_rust::xxh3::xxh3_64;

use super::Entry;

/// Digest of a set of entries: the exclusive or of their hashes, so that an entry is added and
/// removed in constant time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Digest(u64);

impl Digest {
    /// Adds an entry that is not in the set, or removes one that is.
    pub fn toggle(&mut self, entry: &Entry) {
        self.0 ^= hash(entry);
    }

    /// The digest as a number.
    pub fn value(self) -> u64 {
        self.0
    }
}

/// Hash of what instances have to agree on: warm-up and serial differ between instances that read
/// the list at different times.
fn hash(entry: &Entry) -> u64 {
    let server = &entry.server;
    let text = format!(
        "{}\0{}\0{}\0{}\0{}\0{}\0{}",
        server.name,
        server.service,
        server.address,
        server.domain,
        server.slots,
        server.lifecycle,
        entry.started
    );
    xxh3_64(text.as_bytes())
}
