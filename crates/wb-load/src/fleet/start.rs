//! Starting the processes of a fleet.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use eyre::Context;
use eyre::bail;
use eyre::ensure;
use tokio::net::TcpStream;
use wb_ctl::OperatorClient;
use wb_ctl::callers;
use wb_ctl::table_file;
use wb_table::table_file::parse;
use wb_types::policy::Edit;
use wb_types::policy::EditOutcome;

use super::Fleet;
use super::OPERATORS_TOKEN;
use super::PEERS_TOKEN;
use crate::deploy::Deployment;

/// Time within which a process must be reachable and an instance ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder with `deploy.yaml`, `table.csv` and `callers.csv`.
    pub example: PathBuf,
    /// Folder for settings and logs.
    pub out: PathBuf,
    /// Number of entry processes.
    pub entries: usize,
    /// Homes of each service in each failure domain.
    pub homes: usize,
    /// Whether the instances use the naive policy, which shares neither load nor evidence.
    pub naive: bool,
    /// Whether every address lies behind a relay link that can be cut.
    pub links: bool,
}

impl Fleet {
    /// Starts the platform, backend servers and entry processes, and applies the policy table and
    /// callers of the example.
    ///
    /// # Errors
    ///
    /// When a process does not start or does not become ready in time.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        let deployment = Deployment::read(&options.example.join("deploy.yaml"))?;
        let folder = options.out.clone();
        fs::create_dir_all(&folder).wrap_err("can't create the output folder")?;
        let roster = deployment.roster(options.entries);
        let file = folder.join("roster.json");
        fs::write(&file, serde_json::to_string_pretty(&roster)?)?;
        let mut fleet = Self {
            deployment,
            roster,
            entries: (0..options.entries).map(|_| None).collect(),
            options,
            folder,
            stand_ins: Vec::new(),
        };
        fleet.start_stand_ins(&file).await?;
        for index in 0..fleet.entries.len() {
            fleet.start_entry(index)?;
        }
        fleet.apply_policy().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_stand_ins(&mut self, roster: &Path) -> eyre::Result<()> {
        let roster = roster.display().to_string();
        let platform = self.deployment.platform_address();
        let control = self.deployment.backend_control();
        let linked = self.deployment.with_links(&self.roster);
        let listed_file = self.folder.join("listed.json");
        if self.options.links {
            self.roster = linked.roster;
        }
        fs::write(&listed_file, serde_json::to_string_pretty(&self.roster)?)?;
        let listed_file = listed_file.display().to_string();
        let arguments = ["--listen", &platform.to_string(), "--roster", &listed_file];
        let child = self.spawn("stand-platform", "platform", &arguments)?;
        self.stand_ins.push(child);
        let arguments = ["--control", &control.to_string(), "--roster", &roster];
        let child = self.spawn("stand-backend", "backend", &arguments)?;
        self.stand_ins.push(child);
        wait_reachable(platform).await?;
        wait_reachable(control).await?;
        if self.options.links {
            self.start_relay(&linked.links).await?;
        }
        Ok(())
    }

    async fn start_relay(&mut self, links: &[String]) -> eyre::Result<()> {
        let control = self.deployment.relay_control();
        let text = control.to_string();
        let mut arguments = vec!["--control", &text];
        for link in links {
            arguments.extend(["--link", link]);
        }
        let child = self.spawn("stand-relay", "relay", &arguments)?;
        self.stand_ins.push(child);
        wait_reachable(control).await
    }

    /// Starts an entry process, or restarts it after it has ended.
    ///
    /// # Errors
    ///
    /// When the settings can't be written or the program can't be started.
    pub fn start_entry(&mut self, index: usize) -> eyre::Result<()> {
        let file = self.folder.join(format!("entry{index:02}.yaml"));
        fs::write(&file, self.settings_yaml(index))?;
        let arguments = ["--settings", &file.display().to_string()];
        let child = self.spawn("wisteria-entry", &format!("entry{index:02}"), &arguments)?;
        self.entries[index] = Some(child);
        Ok(())
    }

    fn settings_yaml(&self, index: usize) -> String {
        let instance = self.deployment.instance(index);
        let seed = self.deployment.instance((index + 1) % self.entries.len());
        let platform = if self.options.links {
            self.deployment.platform_link_address()
        } else {
            self.deployment.platform_address()
        };
        format!(
            "instance:\n  name: {}\n  domain: {}\n\
             listen:\n  callers: {}\n  peers: {}\n  operators: {}\n\
             platform:\n  address: {}\n\
             tokens:\n  operators: {OPERATORS_TOKEN}\n  peers: {PEERS_TOKEN}\n\
             fleet:\n  homes: {}\n  naive: {}\n  seeds:\n    - {}\n\
             bounds:\n  connections: 4096\n",
            instance.name,
            instance.domain,
            instance.callers,
            instance.peers,
            self.deployment.operator_address(index),
            platform,
            self.options.homes,
            self.options.naive,
            seed.peers
        )
    }

    /// Starts a program from the folder of this one; its stderr goes to `{name}.log`.
    fn spawn(&self, program: &str, name: &str, arguments: &[&str]) -> eyre::Result<Child> {
        let path = program_path(program)?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("can't start {program}"))
    }

    /// Applies the policy table and the callers of the example.
    async fn apply_policy(&self) -> eyre::Result<()> {
        let operator = self.operator(0);
        wait_reachable(self.deployment.operator_address(0)).await?;
        let text = fs::read_to_string(self.options.example.join("table.csv"))?;
        let Ok(rows) = parse(&text) else {
            bail!("the example's table.csv is invalid");
        };
        let text = fs::read_to_string(self.options.example.join("callers.csv"))?;
        let edit = Edit {
            id: table_file::new_edit_id(),
            base: 0,
            rows,
            dropped: Vec::new(),
            callers: callers::parse(&text)?,
        };
        let outcome = operator.submit_edit(&edit).await?;
        ensure!(
            matches!(outcome, EditOutcome::Accepted(_)),
            "the example's table was not accepted: {outcome:?}"
        );
        Ok(())
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        for index in 0..self.entries.len() {
            self.wait_entry_ready(index).await?;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Waits until an entry process is ready.
    ///
    /// # Errors
    ///
    /// When it does not become ready in time.
    pub async fn wait_entry_ready(&self, index: usize) -> eyre::Result<()> {
        let started = Instant::now();
        let operator = self.operator(index);
        while !operator.ready().await {
            ensure!(
                started.elapsed() < READY_TIMEOUT,
                "entry{index:02} did not become ready"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns a client for the operators' API of an instance.
    pub fn operator(&self, index: usize) -> OperatorClient {
        OperatorClient::new(self.deployment.operator_address(index), OPERATORS_TOKEN)
    }
}

fn program_path(program: &str) -> eyre::Result<PathBuf> {
    let this_program = std::env::current_exe()?;
    let mut folder = this_program
        .parent()
        .map(Path::to_path_buf)
        .unwrap_or_default();
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(program);
    ensure!(
        path.exists(),
        "{program} is not built; run `cargo build --release`"
    );
    Ok(path)
}

async fn wait_reachable(address: SocketAddr) -> eyre::Result<()> {
    let started = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        ensure!(
            started.elapsed() < READY_TIMEOUT,
            "nothing listens on {address}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
