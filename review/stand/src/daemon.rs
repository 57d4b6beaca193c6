//! Processes of the system, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::caller;

/// Ports of a machine, as in the example of the pages.
const FRONT_PORT: u16 = 8144;
const READY_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
const DIRECTORY_PORT: u16 = 8143;
/// Time in which all machines have to be ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// Program and arguments of the role in the deploy file, split at spaces.
fn deploy_command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find(|line| line.starts_with("run = "));
    let command = line.map(|line| line.trim_start_matches("run = ").trim_matches('"'));
    let words = command.unwrap_or("").split(' ');
    Ok(words.map(str::to_owned).collect())
}

/// A machine with its process.
pub struct Daemon {
    /// Name of the machine.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a machine and starts its process.
    ///
    /// # Errors
    ///
    /// If a file can't be written or the process can't be started.
    pub fn start(
        folder: &std::path::Path,
        name: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let mut daemon = Self {
            name: name.to_owned(),
            ip,
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        daemon.write_settings(store)?;
        daemon.launch()?;
        Ok(daemon)
    }

    /// Writes the settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be written.
    pub fn write_settings(&self, store: SocketAddr) -> io::Result<()> {
        let Self { name, ip, .. } = self;
        let text = format!(
            r#"{{"node_name":"{name}","role":"gateway","machine_class":"front",
"serves":["front","directory","control"],"ip":"{ip}","zone":"zone-a","region":"region",
"zones":{{"zone-a":"region"}},
"listen":{{"front":"{ip}:{FRONT_PORT}","ready":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}","directory":"{ip}:{DIRECTORY_PORT}"}},
"internal_ports":[7660,7675],"seeds":[],"bootstrap":true,"tolerated":false,
"limits":{{"cpu_share":0.2,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1500,
"contracts":["base","drain","config","cost","retry","recover","health","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":["seed_lag_s=3","reuse_after_s=2","stable_window_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","downgrade_slack_ms=250","max_stretch_ms=5000","retry_budget_ratio=0.2","budget_window_s=10","budget_extra=56","recovery_s=15","ttl_max_s=5","probes_per_s=3","floor_share=0.7"],
"platform":{{"address":"{store}","form":"table","writes_per_s":400,"reads_per_s":2000,"tx_ms":5.0,"part_writes_s":200,"row_bytes":65536,"across":false,"history_s":20,"blob_bytes":8388608,"blob_ms":25.0,"blob_mb_s":80.0}}}}
"#
        );
        fs::write(&self.settings, text)
    }

    /// Starts the process.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn launch(&mut self) -> io::Result<()> {
        let words = deploy_command()?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&words[0]);
        command.args(&words[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var(name).map(|value| (name, value)));
        }
        command.env("WISTERIABARROW_CONFIG", &self.settings);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Address for callers.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT_PORT)
    }

    /// Whether the process counts as ready.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip.into(), READY_PORT);
        caller::ask(address, "/-/readiness").is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all machines are ready. Returns whether they are.
pub fn wait_ready(daemons: &[Daemon]) -> bool {
    let end = Instant::now() + READY_TIME;
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}
