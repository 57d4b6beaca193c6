//! The clock of leases.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use wb_types::id::Moment;

/// Time since the machine started. Unlike the steady clock, it goes on while the machine is suspended,
/// so that leases end on time.
pub fn boot_time() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    // Neither is negative.
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
