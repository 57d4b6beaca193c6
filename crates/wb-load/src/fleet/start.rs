//! Starting processes.

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

/// Longest wait for the fleet to be ready.
const READY: Duration = Duration::from_secs(30);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// What to start.
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
    /// Whether each instance decides alone.
    pub naive: bool,
    /// Whether every process lies behind a link that can be cut.
    pub links: bool,
}

impl Fleet {
    /// Starts platform, backend servers and entry processes, and applies table and callers.
    ///
    /// # Errors
    ///
    /// When a process does not start or does not get ready.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        let deployment = Deployment::read(&options.example.join("deploy.yaml"))?;
        let folder = options.out.clone();
        fs::create_dir_all(&folder).wrap_err("the output folder can't be made")?;
        let roster = deployment.roster(options.entries);
        let file = folder.join("roster.json");
        fs::write(&file, serde_json::to_string_pretty(&roster)?)?;
        let mut fleet = Self {
            deployment,
            roster,
            entries: (0..options.entries).map(|_| None).collect(),
            options,
            folder,
            stands: Vec::new(),
        };
        fleet.start_stands(&file).await?;
        for index in 0..fleet.entries.len() {
            fleet.start_entry(index)?;
        }
        fleet.fill().await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_stands(&mut self, roster: &Path) -> eyre::Result<()> {
        let roster = roster.display().to_string();
        let platform = self.deployment.platform();
        let control = self.deployment.control();
        let linked = self.deployment.linked(&self.roster);
        let listed = self.folder.join("listed.json");
        if self.options.links {
            self.roster = linked.roster;
        }
        fs::write(&listed, serde_json::to_string_pretty(&self.roster)?)?;
        let listed = listed.display().to_string();
        let arguments = ["--listen", &platform.to_string(), "--roster", &listed];
        let child = self.spawn("stand-platform", "platform", &arguments)?;
        self.stands.push(child);
        let arguments = ["--control", &control.to_string(), "--roster", &roster];
        let child = self.spawn("stand-backend", "backend", &arguments)?;
        self.stands.push(child);
        reach(platform).await?;
        reach(control).await?;
        if self.options.links {
            self.start_links(&linked.links).await?;
        }
        Ok(())
    }

    async fn start_links(&mut self, links: &[String]) -> eyre::Result<()> {
        let control = self.deployment.links();
        let text = control.to_string();
        let mut arguments = vec!["--control", &text];
        for link in links {
            arguments.extend(["--link", link]);
        }
        let child = self.spawn("stand-relay", "relay", &arguments)?;
        self.stands.push(child);
        reach(control).await
    }

    /// Starts an entry process, anew if it ended.
    ///
    /// # Errors
    ///
    /// When the settings can't be written or the program can't be started.
    pub fn start_entry(&mut self, index: usize) -> eyre::Result<()> {
        let file = self.folder.join(format!("entry{index:02}.yaml"));
        fs::write(&file, self.settings(index))?;
        let arguments = ["--settings", &file.display().to_string()];
        let child = self.spawn("wisteria-entry", &format!("entry{index:02}"), &arguments)?;
        self.entries[index] = Some(child);
        Ok(())
    }

    fn settings(&self, index: usize) -> String {
        let instance = self.deployment.instance(index);
        let seed = self.deployment.instance((index + 1) % self.entries.len());
        let platform = if self.options.links {
            self.deployment.platform_link()
        } else {
            self.deployment.platform()
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
            self.deployment.operators(index),
            platform,
            self.options.homes,
            self.options.naive,
            seed.peers
        )
    }

    /// Starts one of the programs that lie beside this one.
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
            .wrap_err_with(|| format!("{program} can't be started"))
    }

    /// Applies the table and the callers of the example.
    async fn fill(&self) -> eyre::Result<()> {
        let operator = self.operator(0);
        reach(self.deployment.operators(0)).await?;
        let text = fs::read_to_string(self.options.example.join("table.csv"))?;
        let Ok(rows) = parse(&text) else {
            bail!("the example's table has findings");
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
            "the example's table: {outcome:?}"
        );
        Ok(())
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        for index in 0..self.entries.len() {
            self.wait_entry(index).await?;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Ok(())
    }

    /// Waits until an entry process is ready.
    ///
    /// # Errors
    ///
    /// When it does not get ready in time.
    pub async fn wait_entry(&self, index: usize) -> eyre::Result<()> {
        let began = Instant::now();
        let operator = self.operator(index);
        while !operator.ready().await {
            ensure!(
                began.elapsed() < READY,
                "entry{index:02} does not get ready"
            );
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Operators' calls of an instance.
    pub fn operator(&self, index: usize) -> OperatorClient {
        OperatorClient::new(self.deployment.operators(index), OPERATORS_TOKEN)
    }
}

fn program_path(program: &str) -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut folder = own.parent().map(Path::to_path_buf).unwrap_or_default();
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

async fn reach(address: SocketAddr) -> eyre::Result<()> {
    let began = Instant::now();
    while TcpStream::connect(address).await.is_err() {
        ensure!(began.elapsed() < READY, "nothing listens on {address}");
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}
