//! Doing things to the processes of a fleet.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use eyre::ensure;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wb_http::Pool;
use wb_http::client::Client;
use wb_stand::backend::Knobs;
use wb_stand::backend::OrderCount;
use wb_stand::backend::Stats;
use wb_stand::platform::Faults;
use wb_stand::relay::Link;
use wb_types::roster::Roster;

use super::Fleet;

/// Longest wait for a stand-in.
const TIMEOUT: Duration = Duration::from_secs(10);

impl Fleet {
    /// Sends a signal to an entry process.
    ///
    /// # Errors
    ///
    /// When it is not running.
    pub fn signal(&self, index: usize, signal: Signal) -> eyre::Result<()> {
        let child = self.entries[index].as_ref();
        ensure!(child.is_some(), "entry{index:02} is not running");
        let id = child.map_or(0, |child| child.id() as i32);
        let pid = Pid::from_raw(id).expect("a child's id is not 0");
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Kills an entry process.
    ///
    /// # Errors
    ///
    /// When it is not running.
    pub fn kill(&mut self, index: usize) -> eyre::Result<()> {
        self.signal(index, Signal::KILL)?;
        if let Some(mut child) = self.entries[index].take() {
            child.wait()?;
        }
        Ok(())
    }

    /// Asks an entry process to leave, and waits until it has ended.
    ///
    /// # Errors
    ///
    /// When it is not running or ends badly.
    pub async fn leave(&mut self, index: usize) -> eyre::Result<()> {
        self.signal(index, Signal::TERM)?;
        let child = self.entries[index].take();
        let ended = tokio::task::spawn_blocking(move || child.map(|mut child| child.wait()));
        if let Some(status) = ended.await? {
            ensure!(status?.success(), "entry{index:02} ended badly");
        }
        Ok(())
    }

    /// Callers' addresses of all instances, as they are listed.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let instances = self.roster.instances.iter();
        instances.map(|instance| instance.callers).collect()
    }

    /// Number of entry processes, running or not.
    pub fn size(&self) -> usize {
        self.entries.len()
    }

    /// Process id of an entry process.
    pub fn process(&self, index: usize) -> Option<u32> {
        self.entries[index].as_ref().map(std::process::Child::id)
    }

    /// Sets what is wrong with a backend server, named `service/server`.
    ///
    /// # Errors
    ///
    /// When the stand-in does not take it; likewise below.
    pub async fn knobs(&self, server: &str, knobs: &Knobs) -> eyre::Result<()> {
        let path = format!("/control/knobs/{server}");
        post(self.deployment.control(), &path, knobs).await
    }

    /// Sets what is wrong with the platform.
    pub async fn platform(&self, faults: &Faults) -> eyre::Result<()> {
        post(self.deployment.platform(), "/control/faults", faults).await
    }

    /// Sets what the platform lists.
    pub async fn list(&self, roster: &Roster) -> eyre::Result<()> {
        post(self.deployment.platform(), "/control/roster", roster).await
    }

    /// Sets the state of a link, by its place among the links.
    pub async fn link(&self, index: usize, link: Link) -> eyre::Result<()> {
        let path = format!("/control/link/{index}");
        post(self.deployment.links(), &path, &link).await
    }

    /// Place of the link to an instance's callers' address.
    pub fn caller_link(&self, index: usize) -> usize {
        index * 2
    }

    /// Place of the link to an instance's peers' address.
    pub fn peer_link(&self, index: usize) -> usize {
        index * 2 + 1
    }

    /// Place of the link to a backend server, named `service/server`.
    pub fn server_link(&self, name: &str) -> Option<usize> {
        let mut servers = self.roster.servers.iter();
        let place =
            servers.position(|server| format!("{}/{}", server.service, server.name) == name);
        place.map(|place| self.entries.len() * 2 + place)
    }

    /// Place of the link to the platform.
    pub fn platform_link(&self) -> usize {
        self.entries.len() * 2 + self.roster.servers.len()
    }

    /// Whether an entry process is running.
    pub fn is_running(&self, index: usize) -> bool {
        self.entries[index].is_some()
    }

    /// Orders that the backend servers have run.
    pub async fn ledger(&self) -> eyre::Result<Vec<OrderCount>> {
        get(self.deployment.control(), "/control/ledger").await
    }

    /// Counts of the backend servers.
    pub async fn stats(&self) -> eyre::Result<Vec<Stats>> {
        stats(self.deployment.control()).await
    }

    /// Log of an entry process so far.
    ///
    /// # Errors
    ///
    /// When the file can't be read.
    pub fn log(&self, index: usize) -> eyre::Result<String> {
        let file = self.folder.join(format!("entry{index:02}.log"));
        Ok(fs::read_to_string(file)?)
    }
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// Processor time of one clock tick of the system's process statistics.
const TICK: Duration = Duration::from_millis(10);
/// Size of a memory page, in bytes.
const PAGE: u64 = 4096;

impl Usage {
    /// What a process has used, from the system's statistics.
    pub fn of(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let (_, rest) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: u32 = fields.get(11)?.parse().ok()?;
        let system: u32 = fields.get(12)?.parse().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some(Self {
            cpu: TICK * (user + system),
            memory: pages * PAGE,
        })
    }
}

/// Counts of the backend servers behind a control address.
///
/// # Errors
///
/// When the stand-in does not answer.
pub async fn stats(control: SocketAddr) -> eyre::Result<Vec<Stats>> {
    get(control, "/control/stats").await
}

fn target(address: SocketAddr) -> Client {
    Client {
        pool: Pool::new(Default::default()),
        address,
        timeout: TIMEOUT,
        token: None,
    }
}

async fn post<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> eyre::Result<()> {
    let whole = target(address).post(path, value).await?;
    ensure!(whole.status.is_success(), "{path}: {}", whole.status);
    Ok(())
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> eyre::Result<T> {
    Ok(target(address).get(path).await?.json()?)
}
