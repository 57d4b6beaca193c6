//! Capacity that ejection must leave.

/// One server, as the floor counts it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Its slots.
    pub slots: u32,
    /// Whether it can take work now: in rotation, not leaving, not cold.
    pub serving: bool,
}

/// Slots that must be able to take work, for a floor in percent.
pub fn required_slots(servers: &[Capacity], percent: u32) -> u32 {
    let total: u64 = servers.iter().map(|server| u64::from(server.slots)).sum();
    let needed = (total * u64::from(percent)).div_ceil(100);
    u32::try_from(needed).unwrap_or(u32::MAX)
}

/// Slots that can take work.
pub fn serving_slots(servers: &[Capacity]) -> u32 {
    let serving = servers.iter().filter(|server| server.serving);
    serving.map(|server| server.slots).sum()
}

/// Whether the floor holds after slots are taken out of rotation.
pub fn holds_without(servers: &[Capacity], percent: u32, taken: u32) -> bool {
    serving_slots(servers).saturating_sub(taken) >= required_slots(servers, percent)
}
