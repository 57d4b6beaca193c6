//! One step.

use std::time::Duration;
use std::time::Instant;

use eyre::OptionExt;
use eyre::bail;
use rustix::process::Signal;
use wb_entry::proxy::fleet_api::Addresses;
use wb_http::Pool;
use wb_http::client::Client;
use wb_stand::backend::Knobs;
use wb_stand::platform::Faults;
use wb_stand::relay::Link;

use super::Arguments;
use super::Scenario;
use crate::fleet::Fleet;
use crate::fleet::Options;

/// Longest wait for a state.
const WAIT: Duration = Duration::from_secs(20);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the first sign of a leaving server.
const SIGN: Duration = Duration::from_secs(10);
/// Time in which all must know of a leaving server, from its first sign on.
const LEAVE: Duration = Duration::from_secs(2);
/// Time for which it is watched.
const WATCH: Duration = Duration::from_secs(2);

impl Scenario {
    /// Takes a step; gives what it prints.
    ///
    /// # Errors
    ///
    /// When the step is malformed or can't be taken.
    pub async fn step(&mut self, name: &str, arguments: &Arguments) -> eyre::Result<String> {
        match name {
            "fleet" => self.start(arguments).await,
            "lookups" => self.lookups(arguments).await,
            "orders" => self.send_orders(arguments).await,
            "uploads" => self.begin_uploads(arguments).await,
            "join" => self.join_uploads(arguments).await,
            "kill" | "stop" | "cont" | "start" | "leave" | "roll" => {
                self.process(name, arguments).await
            }
            "link" => self.link(arguments).await,
            "platform" => self.platform(arguments).await,
            "knobs" => self.knobs(arguments).await,
            "edit" => self.edit(arguments).await,
            "race" => self.race(arguments).await,
            "in-force" => self.in_force(arguments).await,
            "named" => self.named(arguments).await,
            "quiet" => self.quiet(arguments).await,
            "sleep" => {
                let millis = arguments.number("ms")?;
                tokio::time::sleep(Duration::from_millis(millis)).await;
                Ok(String::new())
            }
            _ => bail!("no step is named {name}"),
        }
    }

    async fn start(&mut self, arguments: &Arguments) -> eyre::Result<String> {
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

    async fn process(&mut self, name: &str, arguments: &Arguments) -> eyre::Result<String> {
        let index = arguments.number("entry")?;
        let fleet = self.fleet()?;
        match name {
            "kill" => fleet.kill(index)?,
            "stop" => fleet.signal(index, Signal::STOP)?,
            "cont" => fleet.signal(index, Signal::CONT)?,
            "leave" => fleet.leave(index).await?,
            "roll" => {
                fleet.leave(index).await?;
                fleet.start_entry(index)?;
                fleet.wait_entry(index).await?;
            }
            _ => {
                fleet.start_entry(index)?;
                if !arguments.has("unready") {
                    fleet.wait_entry(index).await?;
                }
            }
        }
        Ok(String::new())
    }

    async fn link(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let state = serde_json::Value::from(arguments.text("state")?);
        let link: Link = serde_json::from_value(state)?;
        let fleet = self.fleet()?;
        let place = match arguments.text("to")? {
            "peers" => fleet.peer_link(arguments.number("entry")?),
            "callers" => fleet.caller_link(arguments.number("entry")?),
            "server" => {
                let place = fleet.server_link(&server(arguments)?);
                place.ok_or_eyre("no such server")?
            }
            "platform" => fleet.platform_link(),
            other => bail!("no link leads to {other}"),
        };
        fleet.link(place, link).await?;
        Ok(String::new())
    }

    async fn platform(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let faults = Faults {
            outage: arguments.has("outage"),
            stale: arguments.has("stale"),
            lost: arguments.number_or("lost", 0)?,
            lag_ms: arguments.number_or("lag", 0)?,
            slow_ms: arguments.number_or("slow", 0)?,
        };
        self.fleet()?.platform(&faults).await?;
        Ok(String::new())
    }

    async fn knobs(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let knobs = Knobs {
            fail: share(arguments, "fail")?,
            slow: arguments.number_or("slow", 1.0)?,
            silent: arguments.has("silent"),
            cut: share(arguments, "cut")?,
            leaving: arguments.has("leaving"),
            ..Knobs::default()
        };
        let server = server(arguments)?;
        self.fleet()?.knobs(&server, &knobs).await?;
        Ok(String::new())
    }

    /// Waits until every other running instance names an instance to callers, or none does.
    async fn named(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let index: usize = arguments.number("entry")?;
        let wanted = !arguments.has("not");
        let fleet = self.fleet()?;
        let address = fleet.roster.instances[index].callers;
        let began = Instant::now();
        while began.elapsed() < WAIT {
            let mut agree = true;
            for other in (0..fleet.size()).filter(|other| *other != index) {
                if fleet.is_running(other) {
                    let asked = fleet.deployment.instance(other).callers;
                    agree &= names(asked, address).await == wanted;
                }
            }
            if agree {
                return Ok(if wanted { "named" } else { "not named" }.to_owned());
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok("no agreement".to_owned())
    }

    /// Whether a leaving server gets nothing more, two seconds after its first sign: the answer to
    /// the first request that reaches it.
    async fn quiet(&mut self, arguments: &Arguments) -> eyre::Result<String> {
        let server = server(arguments)?;
        let until = Instant::now() + SIGN;
        while self.late(&server).await? == 0 {
            if Instant::now() > until {
                return Ok("no sign".to_owned());
            }
            self.lookups_now("registry", 100).await?;
        }
        tokio::time::sleep(LEAVE).await;
        let before = self.late(&server).await?;
        let until = Instant::now() + WATCH;
        while Instant::now() < until {
            self.lookups_now("registry", 50).await?;
        }
        let late = self.late(&server).await? - before;
        Ok(format!("requests after two seconds: {late}"))
    }

    async fn late(&mut self, server: &str) -> eyre::Result<u64> {
        let stats = self.fleet()?.stats().await?;
        let found = stats.iter().find(|stats| stats.server == server);
        Ok(found.map_or(0, |stats| stats.late))
    }
}

/// A backend server, as `service/server`.
fn server(arguments: &Arguments) -> eyre::Result<String> {
    let service = arguments.text("service")?;
    Ok(format!("{service}/{}", arguments.text("server")?))
}

/// A share that is given in percent.
fn share(arguments: &Arguments, name: &str) -> eyre::Result<f64> {
    let percent: f64 = arguments.number_or(name, 0.0)?;
    Ok(percent / 100.0)
}

/// Whether an instance names another as a home of some service, or as a member.
async fn names(asked: std::net::SocketAddr, address: std::net::SocketAddr) -> bool {
    let target = Client {
        pool: Pool::new(Default::default()),
        address: asked,
        timeout: Duration::from_secs(1),
        token: Some("key-of-all-services".to_owned()),
    };
    for service in ["registry", "pattern"] {
        let path = format!("/.fleet/addresses?service={service}");
        if let Ok(whole) = target.get(&path).await
            && let Ok(answer) = whole.json::<Addresses>()
            && answer.addresses.contains(&address)
        {
            return true;
        }
    }
    false
}
