//! Store, servers and daemons on loopback addresses.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Context;
use eyre::bail;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use wb_http::serve;
use wb_stand::published::Store;
use wb_stand::published::fixtures;
use wb_stand::published::store::StoreHandler;

use crate::client;

/// Longest time until a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Last octet of the store's address.
const STORE_OCTET: u8 = 250;

/// A daemon in a process of its own, killed when this is dropped.
pub struct Daemon {
    /// Its address.
    pub ip: IpAddr,
    name: String,
    child: Option<Child>,
}

impl Daemon {
    /// Address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, fixtures::FRONT_PORT)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let Some(child) = &self.child else {
            bail!("{} does not run", self.name);
        };
        let Some(pid) = Pid::from_raw(child.id() as i32) else {
            bail!("{} has no process id", self.name);
        };
        rustix::process::kill_process(pid, signal).wrap_err("signal was not sent")
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that it has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The store, and what daemons need.
pub struct Bed {
    /// The store.
    pub store: Arc<Store>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    octets: [u8; 2],
    store_address: SocketAddr,
    bounds: Vec<String>,
    _stop: watch::Sender<bool>,
}

impl Bed {
    /// Starts a store. `bounds` are those of the settings.
    pub async fn start(bounds: &[&str]) -> eyre::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        for _ in 0..50 {
            let octets = [rand::random_range(20..220), rand::random_range(1..250)];
            let ip = Ipv4Addr::new(127, octets[0], octets[1], STORE_OCTET);
            // A busy address belongs to another run.
            let Ok(listener) = TcpListener::bind((ip, 8142)).await else {
                continue;
            };
            let store_address = listener.local_addr()?;
            let store = Arc::new(Store::default());
            let (stop, stopped) = watch::channel(false);
            let handler = Arc::new(StoreHandler(store.clone()));
            let options = serve::Options::default();
            tokio::spawn(serve::serve(listener, options, handler, stopped));
            return Ok(Self {
                store,
                folder,
                octets,
                store_address,
                bounds: bounds.iter().map(|bound| (*bound).to_owned()).collect(),
                _stop: stop,
            });
        }
        bail!("no free loopback address")
    }

    /// An address of this run.
    pub fn ip(&self, octet: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.octets[0], self.octets[1], octet))
    }

    /// Address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Writes the configuration.
    pub fn write_config(&self, config: &Value) {
        let content = config.to_string();
        self.store.put("op", "config", content.as_bytes());
    }

    /// Writes the row of a server.
    pub fn write_server(&self, name: &str, row: &Value) {
        self.store.put("servers", name, row.to_string().as_bytes());
    }

    /// Settings of a daemon.
    pub fn settings(&self, name: &str, octet: u8) -> Value {
        let ip = self.ip(octet);
        let mut settings = fixtures::settings(name, ip, "zone-a", self.store_address);
        settings["bounds"] = json!(self.bounds);
        settings
    }

    /// Starts a daemon.
    pub fn start_daemon(&self, octet: u8) -> eyre::Result<Daemon> {
        let name = format!("front-{octet}");
        let settings = self.settings(&name, octet);
        self.start_with(&name, octet, &settings, &[])
    }

    /// Starts a daemon with settings and further arguments.
    pub fn start_with(
        &self,
        name: &str,
        octet: u8,
        settings: &Value,
        arguments: &[String],
    ) -> eyre::Result<Daemon> {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let program = std::env::var("GATEWAY").unwrap_or("target/release/wisteria-gateway".into());
        let child = Command::new(program)
            .args(arguments)
            .env_clear()
            .env("WISTERIABARROW_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone()?))
            .stdout(Stdio::from(log))
            .spawn()
            .wrap_err("the daemon can't be started")?;
        Ok(Daemon {
            ip: self.ip(octet),
            name: name.to_owned(),
            child: Some(child),
        })
    }

    /// Waits until a daemon is ready.
    pub async fn wait_ready(&self, daemon: &Daemon) -> eyre::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        let address = SocketAddr::new(daemon.ip, fixtures::READY_PORT);
        while Instant::now() < end {
            if client::status_of(address, "/-/readiness").await == Some(200) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        bail!("{} is not ready", daemon.name)
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            // It lies among the temporary files.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
