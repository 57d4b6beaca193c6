//! Dispatch of steps, and the steps that control processes, links and faults.

use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::bail;
use rustix::process::Signal;
use wb_entry::proxy::fleet_api::Addresses;
use wb_http::Pool;
use wb_http::client::Client;
use wb_stand::backend::ServerFaults;
use wb_stand::platform::PlatformFaults;
use wb_stand::relay::Link;

use super::Arguments;
use super::Scenario;
use crate::fleet::Fleet;
use crate::fleet::Options;

/// Time within which the instances must agree on the listing of an instance.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a leaving server must get a request, whose response announces that it leaves.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which all instances must know of a leaving server, from its first request on.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// Time for which requests to the leaving server are counted afterwards.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);

impl Scenario {
    /// Runs a step and returns its output.
    ///
    /// # Errors
    ///
    /// When the step is malformed or fails.
    pub async fn run_step(&mut self, name: &str, arguments: &Arguments) -> eyre::Result<String> {
        match name {
            "fleet" => self.start_fleet(arguments).await,
            "lookups" => self.send_lookups(arguments).await,
            "orders" => self.send_orders(arguments).await,
            "uploads" => self.start_uploads(arguments).await,
            "join" => self.wait_uploads(arguments).await,
            "kill" | "stop" | "cont" | "start" | "leave" | "roll" => {
                self.control_process(name, arguments).await
            }
            "link" => self.set_link(arguments).await,
            "platform" => self.set_platform_faults(arguments).await,
            "knobs" => self.set_server_faults(arguments).await,
            "edit" => self.edit_weight(arguments).await,
            "race" => self.race_edits(arguments).await,
            "in-force" => self.wait_in_force(arguments).await,
            "named" => self.wait_listed(arguments).await,
            "quiet" => self.count_late(arguments).await,
            "sleep" => {
                let millis = arguments.number("ms")?;
                tokio::time::sleep(Duration::from_millis(millis)).await;
                Ok(String::new())
            }
            _ => bail!("unknown step {name}"),
        }
    }

    async fn start_fleet(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        self.fleet = None;
        if self.out.exists() {
            std::fs::remove_dir_all(&self.out)?;
        }
        let options = Options {
            example: self.example.clone(),
            out: self.out.clone(),
            entries: arguments.number("entries")?,
            homes: arguments.number_or("homes", 1)?,
            naive: false,
            links: true,
        };
        self.fleet = Some(Fleet::start(options).await?);
        Ok(String::new())
    }

    async fn control_process(&mut self, name: &str, arguments: &Arguments) -> eyre::Result<String> {
        let index = arguments.number("entry")?;
        let fleet = self.fleet()?;
        match name {
            "kill" => fleet.kill(index)?,
            "stop" => fleet.signal(index, Signal::STOP)?,
            "cont" => fleet.signal(index, Signal::CONT)?,
            "leave" => fleet.shut_down(index).await?,
            "roll" => {
                fleet.shut_down(index).await?;
                fleet.start_entry(index)?;
                fleet.wait_entry_ready(index).await?;
            }
            _ => {
                fleet.start_entry(index)?;
                if !arguments.has("unready") {
                    fleet.wait_entry_ready(index).await?;
                }
            }
        }
        Ok(String::new())
    }

    async fn set_link(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let state = serde_json::Value::from(arguments.text("state")?);
        let link: Link = serde_json::from_value(state)?;
        let fleet = self.fleet()?;
        let index = match arguments.text("to")? {
            "peers" => fleet.peer_link_index(arguments.number("entry")?),
            "callers" => fleet.caller_link_index(arguments.number("entry")?),
            "server" => {
                let index = fleet.server_link_index(&server(arguments)?);
                index.ok_or_eyre("the roster has no such server")?
            }
            "platform" => fleet.platform_link_index(),
            other => bail!("unknown link target {other}"),
        };
        fleet.set_link(index, link).await?;
        Ok(String::new())
    }

    async fn set_platform_faults(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let faults = PlatformFaults {
            outage: arguments.has("outage"),
            stale: arguments.has("stale"),
            lost: arguments.number_or("lost", 0)?,
            lag_ms: arguments.number_or("lag", 0)?,
            slow_ms: arguments.number_or("slow", 0)?,
        };
        self.fleet()?.set_platform_faults(&faults).await?;
        Ok(String::new())
    }

    async fn set_server_faults(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let faults = ServerFaults {
            fail: fraction(arguments, "fail")?,
            slow: arguments.number_or("slow", 1.0)?,
            silent: arguments.has("silent"),
            cut: fraction(arguments, "cut")?,
            leaving: arguments.has("leaving"),
            repeat: fraction(arguments, "repeat")?,
            ..ServerFaults::default()
        };
        let server = server(arguments)?;
        self.fleet()?.set_server_faults(&server, &faults).await?;
        Ok(String::new())
    }

    /// Waits until every other running instance lists an instance to callers, or none does.
    async fn wait_listed(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let index: usize = arguments.number("entry")?;
        let listed = !arguments.has("not");
        let fleet = self.fleet()?;
        let address = fleet.roster.instances[index].callers;
        let started = Instant::now();
        while started.elapsed() < TIMEOUT {
            let mut all_agree = true;
            for other in (0..fleet.size()).filter(|other| *other != index) {
                if fleet.is_running(other) {
                    let queried = fleet.deployment.instance(other).callers;
                    all_agree &= is_listed(queried, address).await == listed;
                }
            }
            if all_agree {
                return Ok(if listed { "named" } else { "not named" }.to_owned());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok("the instances do not agree".to_owned())
    }

    /// Counts the requests that reach a leaving server later than `PROPAGATION_TIME` after the
    /// first one, whose response announces that it leaves.
    async fn count_late(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let server = server(arguments)?;
        let deadline = Instant::now() + FIRST_REQUEST_TIMEOUT;
        while self.late_requests(&server).await? == 0 {
            if Instant::now() > deadline {
                return Ok("no request reached the leaving server".to_owned());
            }
            self.send_lookup_burst("registry", 100).await?;
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
        let before = self.late_requests(&server).await?;
        let deadline = Instant::now() + OBSERVATION_TIME;
        while Instant::now() < deadline {
            self.send_lookup_burst("registry", 50).await?;
        }
        let late = self.late_requests(&server).await? - before;
        Ok(format!("requests after two seconds: {late}"))
    }

    async fn late_requests(&mut self, server: &str) -> eyre::Result<u64> {
        let stats = self.fleet()?.stats().await?;
        let found = stats.iter().find(|stats| stats.server == server);
        Ok(found.map_or(0, |stats| stats.late))
    }
}

/// Returns the name of a backend server as `service/server`.
fn server(arguments: &Arguments) -> eyre::Result<String> {
    let service = arguments.text("service")?;
    Ok(format!("{service}/{}", arguments.text("server")?))
}

/// Parses a percentage as a fraction; 0 if it is not given.
fn fraction(arguments: &Arguments, name: &str) -> eyre::Result<f64> {
    let percent: f64 = arguments.number_or(name, 0.0)?;
    Ok(percent / 100.0)
}

/// Returns whether an instance lists an address to callers, as a home of a service or as a member.
async fn is_listed(queried: std::net::SocketAddr, address: std::net::SocketAddr) -> bool {
    let client = Client {
        pool: Pool::new(Default::default()),
        address: queried,
        timeout: Duration::from_secs(1),
        token: Some("key-of-all-services".to_owned()),
    };
    for service in ["registry", "pattern"] {
        let path = format!("/.fleet/addresses?service={service}");
        if let Ok(response) = client.get(&path).await
            && let Ok(listing) = response.json::<Addresses>()
            && listing.addresses.contains(&address)
        {
            return true;
        }
    }
    false
}
