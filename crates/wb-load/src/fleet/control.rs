//! Control of the processes of a fleet: signals, injected faults and statistics.

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
use wb_stand::backend::OrderCount;
use wb_stand::backend::ServerFaults;
use wb_stand::backend::Stats;
use wb_stand::platform::PlatformFaults;
use wb_stand::relay::Link;
use wb_types::roster::Roster;

use super::Fleet;

/// Timeout for one request to a stand-in.
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

    /// Kills an entry process with SIGKILL and waits until it has ended.
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

    /// Shuts an entry process down gracefully with SIGTERM and waits until it has ended.
    ///
    /// # Errors
    ///
    /// When it is not running or exits with a failure status.
    pub async fn shut_down(&mut self, index: usize) -> eyre::Result<()> {
        self.signal(index, Signal::TERM)?;
        let child = self.entries[index].take();
        let ended = tokio::task::spawn_blocking(move || child.map(|mut child| child.wait()));
        if let Some(status) = ended.await? {
            ensure!(
                status?.success(),
                "entry{index:02} exited with a failure status"
            );
        }
        Ok(())
    }

    /// Returns the callers' addresses of all instances, as listed in the roster.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let instances = self.roster.instances.iter();
        instances.map(|instance| instance.callers).collect()
    }

    /// Returns the number of entry processes, running or not.
    pub fn size(&self) -> usize {
        self.entries.len()
    }

    /// Returns the process id of an entry process, if it is running.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.entries[index].as_ref().map(std::process::Child::id)
    }

    /// Injects faults into a backend server, named `service/server`.
    ///
    /// # Errors
    ///
    /// When the stand-in does not respond or rejects them.
    pub async fn set_server_faults(&self, server: &str, faults: &ServerFaults) -> eyre::Result<()> {
        let path = format!("/control/knobs/{server}");
        post(self.deployment.backend_control(), &path, faults).await
    }

    /// Injects faults into the platform.
    ///
    /// # Errors
    ///
    /// When the stand-in does not respond or rejects them.
    pub async fn set_platform_faults(&self, faults: &PlatformFaults) -> eyre::Result<()> {
        post(
            self.deployment.platform_address(),
            "/control/faults",
            faults,
        )
        .await
    }

    /// Replaces the roster that the platform lists.
    ///
    /// # Errors
    ///
    /// When the stand-in does not respond or rejects it.
    pub async fn set_roster(&self, roster: &Roster) -> eyre::Result<()> {
        post(
            self.deployment.platform_address(),
            "/control/roster",
            roster,
        )
        .await
    }

    /// Sets the state of a link, by its index in the relay.
    ///
    /// # Errors
    ///
    /// When the relay does not respond or rejects it.
    pub async fn set_link(&self, index: usize, link: Link) -> eyre::Result<()> {
        let path = format!("/control/link/{index}");
        post(self.deployment.relay_control(), &path, &link).await
    }

    /// Returns the index of the link to an instance's callers' address.
    pub fn caller_link_index(&self, index: usize) -> usize {
        index * 2
    }

    /// Returns the index of the link to an instance's peers' address.
    pub fn peer_link_index(&self, index: usize) -> usize {
        index * 2 + 1
    }

    /// Returns the index of the link to a backend server, named `service/server`.
    pub fn server_link_index(&self, name: &str) -> Option<usize> {
        let mut servers = self.roster.servers.iter();
        let index =
            servers.position(|server| format!("{}/{}", server.service, server.name) == name);
        index.map(|index| self.entries.len() * 2 + index)
    }

    /// Returns the index of the link to the platform.
    pub fn platform_link_index(&self) -> usize {
        self.entries.len() * 2 + self.roster.servers.len()
    }

    /// Returns whether an entry process was started and not killed or shut down since.
    pub fn is_running(&self, index: usize) -> bool {
        self.entries[index].is_some()
    }

    /// Returns how often the backend servers have run each order.
    ///
    /// # Errors
    ///
    /// When the stand-in does not respond.
    pub async fn ledger(&self) -> eyre::Result<Vec<OrderCount>> {
        get(self.deployment.backend_control(), "/control/ledger").await
    }

    /// Returns the counters of the backend servers.
    ///
    /// # Errors
    ///
    /// When the stand-in does not respond.
    pub async fn stats(&self) -> eyre::Result<Vec<Stats>> {
        stats(self.deployment.backend_control()).await
    }

    /// Reads the log of an entry process so far.
    ///
    /// # Errors
    ///
    /// When the file can't be read.
    pub fn read_log(&self, index: usize) -> eyre::Result<String> {
        let file = self.folder.join(format!("entry{index:02}.log"));
        Ok(fs::read_to_string(file)?)
    }
}

/// CPU time and memory that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// CPU time of one clock tick in `/proc/<pid>/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

impl Usage {
    /// Reads the usage of a process from `/proc/<pid>/stat`; `None` if there is no such process.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let (_, rest) = stat.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let user: u32 = fields.get(11)?.parse().ok()?;
        let system: u32 = fields.get(12)?.parse().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some(Self {
            cpu: CLOCK_TICK * (user + system),
            memory: pages * PAGE_BYTES,
        })
    }
}

/// Requests the counters of the backend servers from their control address.
///
/// # Errors
///
/// When the stand-in does not respond.
pub async fn stats(control: SocketAddr) -> eyre::Result<Vec<Stats>> {
    get(control, "/control/stats").await
}

fn client(address: SocketAddr) -> Client {
    Client {
        pool: Pool::new(Default::default()),
        address,
        timeout: TIMEOUT,
        token: None,
    }
}

async fn post<T: Serialize>(address: SocketAddr, path: &str, value: &T) -> eyre::Result<()> {
    let response = client(address).post(path, value).await?;
    ensure!(response.status.is_success(), "{path}: {}", response.status);
    Ok(())
}

async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> eyre::Result<T> {
    Ok(client(address).get(path).await?.json()?)
}
