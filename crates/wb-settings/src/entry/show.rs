//! Prints the effective settings without the tokens.

use std::fmt;

use super::Settings;

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "instance:")?;
        writeln!(f, "  name: {}", self.instance.name)?;
        writeln!(f, "  domain: {}", self.instance.domain)?;
        writeln!(f, "listen:")?;
        writeln!(f, "  callers: {}", self.listen.callers)?;
        writeln!(f, "  peers: {}", self.listen.peers)?;
        writeln!(f, "  operators: {}", self.listen.operators)?;
        writeln!(f, "platform:")?;
        writeln!(f, "  address: {}", self.platform.address)?;
        writeln!(f, "  timeout_ms: {}", self.platform.timeout.as_millis())?;
        writeln!(f, "  poll_ms: {}", self.platform.poll_interval.as_millis())?;
        writeln!(f, "tokens:")?;
        writeln!(f, "  operators: (set)")?;
        writeln!(f, "  peers: (set)")?;
        writeln!(f, "fleet:")?;
        writeln!(f, "  homes: {}", self.fleet.homes)?;
        writeln!(f, "  probe_ms: {}", self.fleet.probe_interval.as_millis())?;
        writeln!(
            f,
            "  exchange_ms: {}",
            self.fleet.exchange_interval.as_millis()
        )?;
        writeln!(f, "  seeds:")?;
        for seed in &self.fleet.seeds {
            writeln!(f, "    - {seed}")?;
        }
        writeln!(f, "  naive: {}", self.fleet.naive)?;
        writeln!(f, "bounds:")?;
        writeln!(f, "  connections: {}", self.limits.max_connections)?;
        writeln!(f, "  head_ms: {}", self.limits.head_timeout.as_millis())?;
        writeln!(f, "  idle_ms: {}", self.limits.idle_timeout.as_millis())
    }
}
