//! Reading the settings of an entry daemon.

use std::time::Duration;

use super::ConnectionLimits;
use super::Fleet;
use super::InstanceSettings;
use super::Listen;
use super::PlatformSettings;
use super::Settings;
use super::Tokens;
use crate::Finding;
use crate::read::Section;
use crate::read::document;

/// Default timeout of a platform call.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);
/// Default interval of polling the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// Default number of home instances of a service.
const HOMES: usize = 4;
/// Default interval of membership probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Default interval of load exchanges between homes.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Default limit of callers' open connections.
const MAX_CONNECTIONS: usize = 4096;
/// Default timeout for a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Default timeout for the next data of a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum length of a token, in bytes.
const TOKEN_MIN: usize = 8;

impl Settings {
    /// Parses the text of a settings file; `file` is the name that findings show.
    ///
    /// # Errors
    ///
    /// All findings, each with file, line and column.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Finding>> {
        document(file, text, |root| {
            let instance = root.section("instance", instance);
            let listen = root.section("listen", listen);
            let platform = root.section("platform", platform);
            let tokens = root.section("tokens", tokens);
            let fleet = root.section("fleet", fleet);
            let limits = root.section("bounds", limits);
            Some(Self {
                instance: instance?,
                listen: listen?,
                platform: platform?,
                tokens: tokens?,
                fleet: fleet?,
                limits: limits?,
            })
        })
    }
}

fn instance(section: &mut Section<'_>) -> Option<InstanceSettings> {
    let name = section.value::<String>("name");
    let domain = section.value::<String>("domain");
    if name.as_deref() == Some("") {
        section.add_finding("name", "must not be empty");
    }
    Some(InstanceSettings {
        name: name?.into(),
        domain: domain?.into(),
    })
}

fn listen(section: &mut Section<'_>) -> Option<Listen> {
    let callers = section.value("callers");
    let peers = section.value("peers");
    let operators = section.value("operators");
    if callers.is_some() && callers == operators {
        section.add_finding("operators", "must differ from `callers`");
    }
    if peers.is_some() && (peers == callers || peers == operators) {
        section.add_finding("peers", "must differ from `callers` and `operators`");
    }
    Some(Listen {
        callers: callers?,
        peers: peers?,
        operators: operators?,
    })
}

fn platform(section: &mut Section<'_>) -> Option<PlatformSettings> {
    let address = section.value("address");
    let timeout = section.millis_or("timeout_ms", PLATFORM_TIMEOUT);
    let poll = section.millis_or("poll_ms", POLL_INTERVAL);
    Some(PlatformSettings {
        address: address?,
        timeout: timeout?,
        poll_interval: poll?,
    })
}

fn tokens(section: &mut Section<'_>) -> Option<Tokens> {
    let operators = token(section, "operators");
    let peers = token(section, "peers");
    Some(Tokens {
        operators: operators?,
        peers: peers?,
    })
}

fn token(section: &mut Section<'_>, key: &'static str) -> Option<String> {
    let token = section.value::<String>(key)?;
    if token.len() < TOKEN_MIN {
        section.add_finding(key, "must have at least 8 characters");
        return None;
    }
    Some(token)
}

fn fleet(section: &mut Section<'_>) -> Option<Fleet> {
    let homes = section.value_or("homes", HOMES);
    let probe = section.millis_or("probe_ms", PROBE_INTERVAL);
    let exchange = section.millis_or("exchange_ms", EXCHANGE_INTERVAL);
    let seeds = section.list("seeds");
    let naive = section.value_or("naive", false);
    if homes == Some(0) {
        section.add_finding("homes", "must be above 0");
    }
    Some(Fleet {
        homes: homes?,
        probe_interval: probe?,
        exchange_interval: exchange?,
        seeds: seeds?,
        naive: naive?,
    })
}

fn limits(section: &mut Section<'_>) -> Option<ConnectionLimits> {
    let connections = section.value_or("connections", MAX_CONNECTIONS);
    let head = section.millis_or("head_ms", HEAD_TIMEOUT);
    let idle = section.millis_or("idle_ms", IDLE_TIMEOUT);
    if connections == Some(0) {
        section.add_finding("connections", "must be above 0");
    }
    Some(ConnectionLimits {
        max_connections: connections?,
        head_timeout: head?,
        idle_timeout: idle?,
    })
}
