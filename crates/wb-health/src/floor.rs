//! Capacity floor: the slots that ejections must leave in rotation.

/// Capacity of one server, as it counts for the floor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Number of slots.
    pub slots: u32,
    /// Whether it can take requests now: in rotation, not leaving, warmed up.
    pub serving: bool,
}

/// Slots that must be able to take requests, for a floor in percent of all slots.
pub fn required_slots(servers: &[Capacity], percent: u32) -> u64 {
    let total: u64 = servers.iter().map(|server| u64::from(server.slots)).sum();
    (total * u64::from(percent)).div_ceil(100)
}

/// Slots that can take requests.
pub fn serving_slots(servers: &[Capacity]) -> u64 {
    let serving = servers.iter().filter(|server| server.serving);
    serving.map(|server| u64::from(server.slots)).sum()
}

/// Whether the floor still holds when `taken` slots leave the rotation.
pub fn holds_without(servers: &[Capacity], percent: u32, taken: u32) -> bool {
    serving_slots(servers).saturating_sub(u64::from(taken)) >= required_slots(servers, percent)
}
