//! Gateway processes, stand-ins for the store and backend servers, and the links between them.

use std::collections::HashSet;
use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use eyre::Context;
use eyre::OptionExt;
use eyre::bail;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wb_http::Pool;
use wb_http::client::Client;
use wb_http::serve;
use wb_stand::published::Ledger;
use wb_stand::published::Server;
use wb_stand::published::Store;
use wb_stand::published::fixtures;
use wb_stand::published::server::Behaviour;
use wb_stand::published::server::CrashRule;
use wb_stand::published::server::Process;
use wb_stand::published::store::Backup;
use wb_stand::published::store::StoreHandler;
use wb_stand::relay::Relay;

/// Number of subnets of the loopback network, of which each run at a time has one.
const SUBNETS: u32 = 200;
/// Second octet of the first of them.
const SUBNET_MIN: u32 = 20;
/// Port of the store, which only the run that has the subnet can listen on.
const STORE_PORT: u16 = 8150;
/// Share of the faults before which the store is backed up.
const BACKUP_SHARE: f64 = 0.2;
/// Longest time until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a healthy server takes for a request.
const WORK_TIME: Duration = Duration::from_millis(40);
/// The same in runs of planned work alone.
const PLANNED_WORK_TIME: Duration = Duration::from_millis(600);
/// Deadline that callers send with a request, and timeout of the routes.
const DEADLINE: Duration = Duration::from_millis(3000);
/// The same in runs of planned work alone: longer than the grace period.
const PLANNED_DEADLINE: Duration = Duration::from_millis(8000);
/// Share of the requests that take several times as long in these.
const SLOW_SHARE: f64 = 0.1;

/// Service whose servers end when they run certain requests.
const CRASHING_SERVICE: &str = "registry";

/// Size, seed and output folder of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder for settings and logs.
    pub out: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Number of gateway instances.
    pub instances: usize,
    /// Number of backend servers of each service.
    pub servers: usize,
    /// Whether there is only planned work: stops, reloads, changes, and what servers say of
    /// themselves.
    pub planned: bool,
    /// Whether the configuration names teams.
    pub teams: bool,
    /// Whether there are more callers, which leave before most of their requests are answered.
    pub leavers: bool,
}

impl Options {
    /// Number of servers of a service that don't leave. Without faults, they have room for all
    /// requests.
    pub fn least_servers(&self) -> usize {
        if self.planned { 4 } else { 2 }
    }

    /// Deadline that callers send with a request. They give up after twice this time.
    pub fn deadline(&self) -> Duration {
        if self.planned {
            PLANNED_DEADLINE
        } else {
            DEADLINE
        }
    }

    /// Behaviour of a healthy server. In runs without faults, requests that take long are still in
    /// progress when an instance ends.
    pub fn healthy_behaviour(&self) -> Behaviour {
        if self.planned {
            return Behaviour {
                work: PLANNED_WORK_TIME,
                slow: SLOW_SHARE,
                ..Behaviour::default()
            };
        }
        Behaviour {
            work: WORK_TIME,
            ..Behaviour::default()
        }
    }
}

/// Names of the teams and a key of each that is never taken away.
pub const TEAMS: [(&str, &str); 2] = [("even", "3v3n3v3n3v3n"), ("odd", "0dd0dd0dd0dd")];

/// The teams of a version of the configuration. Each has another key beside the one that stays.
fn teams(version: u64) -> Value {
    let row = |key: &str| json!({"api_keys": [key, format!("{key}{version}")]});
    let rows = TEAMS.map(|(name, key)| (name.to_owned(), row(key)));
    Value::Object(rows.into_iter().collect())
}

/// A backend server and the link that the fleet reaches it through.
pub struct Backend {
    /// Stand-in of the server.
    pub server: Arc<Server>,
    /// Name of its service.
    pub service: &'static str,
    /// Address of the link, written to the store as the server's address.
    pub address: SocketAddr,
    /// Link to the server.
    pub link: Arc<Relay>,
    /// When it announced that it leaves.
    pub leaving_since: Option<Instant>,
    /// Whether it has announced that it leaves, as its process writes it.
    leaving: Arc<AtomicBool>,
    /// Limits that it has named, each with the time when it began to.
    pub limits: Vec<(Instant, Option<f64>)>,
}

impl Backend {
    /// Whether it has announced that it leaves, in its row or in its responses.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some() || self.server.leaving_since().is_some()
    }
}

/// A gateway instance and its link to the store.
pub struct Instance {
    /// IP address of the instance.
    pub ip: IpAddr,
    /// Link from the instance to the store.
    pub store_link: Relay,
    /// Name.
    pub name: String,
    child: Option<Child>,
}

/// A fleet of gateway processes with a store and backend servers. Kills the processes when dropped.
pub struct Testbed {
    /// Options of the run.
    pub options: Options,
    /// Stand-in of the store.
    pub store: Arc<Store>,
    /// Record of all requests that the backend servers ran.
    pub ledger: Arc<Ledger>,
    /// Backend servers, also those that leave.
    pub backends: Vec<Backend>,
    /// Gateway instances.
    pub instances: Vec<Instance>,
    /// Requests that make the servers of a service end.
    pub crash_rule: Option<CrashRule>,
    /// Instances whose path to all servers is cut, by their addresses.
    path_cuts: HashSet<IpAddr>,
    /// State of the store from a while ago.
    backup: Backup,
    /// Version of the configuration last written.
    pub version: u64,
    /// Second octet of all addresses.
    subnet: u8,
    /// Keeps the store's listener running until dropped.
    _shutdown: tokio::sync::watch::Sender<bool>,
}

impl Testbed {
    /// Starts the store, the backend servers and the instances.
    ///
    /// # Errors
    ///
    /// When a file can't be written, an address can't be bound or a process can't be started.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        fs::create_dir_all(&options.out).wrap_err("failed to create the output folder")?;
        let (subnet, listener) = claim_subnet().await?;
        let store = Arc::new(Store::default());
        let (shutdown, stopped) = tokio::sync::watch::channel(false);
        let address = listener.local_addr()?;
        let handler = Arc::new(StoreHandler(store.clone()));
        tokio::spawn(serve::serve(
            listener,
            serve::Options::default(),
            handler,
            stopped,
        ));
        let mut testbed = Self {
            backup: store.backup(),
            store,
            ledger: Arc::default(),
            backends: Vec::new(),
            instances: Vec::new(),
            crash_rule: None,
            path_cuts: HashSet::new(),
            version: 0,
            subnet,
            options,
            _shutdown: shutdown,
        };
        testbed.write_config();
        for _ in 0..testbed.options.servers {
            testbed.add_backend("registry").await?;
            testbed.add_backend("patterns").await?;
        }
        testbed.backup = testbed.store.backup();
        for index in 0..testbed.options.instances {
            testbed.add_instance(index, address).await?;
        }
        Ok(testbed)
    }

    /// Replaces the backup of the store now and then.
    pub fn back_up_store(&mut self, rng: &mut SmallRng) {
        if rng.random_bool(BACKUP_SHARE) {
            self.backup = self.store.backup();
        }
    }

    /// Takes the store back to the backup.
    pub fn restore_store(&self) {
        self.store.restore(self.backup.clone());
    }

    /// Writes the configuration and the rows of the backend servers again.
    pub fn rewrite(&mut self) {
        self.put_config();
        for index in 0..self.backends.len() {
            let leaving = self.backends[index].leaving_since.is_some();
            self.write_server_row(index, if leaving { "draining" } else { "ready" });
        }
    }

    /// Lets the servers of a service end from now on when they run such a request.
    pub fn set_crash_rule(&mut self, rule: CrashRule) {
        let servers = self.backends.iter();
        let crashing = servers.filter(|backend| backend.service == CRASHING_SERVICE);
        for backend in crashing {
            backend.server.set_crash_rule(Some(rule.clone()));
        }
        self.crash_rule = Some(rule);
    }

    /// Cuts the path of an instance to all servers, or no longer.
    pub fn set_path_cut(&mut self, instance: usize, cut: bool) {
        let source = self.instances[instance].ip;
        if cut {
            self.path_cuts.insert(source);
        } else {
            self.path_cuts.remove(&source);
        }
        for backend in &self.backends {
            backend.link.set_source_cut(source, cut);
        }
    }

    /// Lets a backend server name a limit, or no longer name one.
    pub fn set_limit(&mut self, index: usize, limit: Option<f64>) {
        let backend = &mut self.backends[index];
        backend.server.set_limit(limit);
        backend.limits.push((Instant::now(), limit));
    }

    /// Writes the next version of the configuration, with one more route than the last.
    pub fn write_config(&mut self) {
        self.version += 1;
        self.put_config();
    }

    fn put_config(&self) {
        let mut config = fixtures::config(self.version, self.version as usize - 1);
        for route in ["lookup", "order"] {
            config["routes"][route]["timeout_ms"] =
                (self.options.deadline().as_millis() as u64).into();
        }
        if self.options.teams {
            config["tenants"] = teams(self.version);
        }
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }

    /// Starts a backend server and writes its row to the store.
    ///
    /// # Errors
    ///
    /// When an address can't be bound.
    pub async fn add_backend(&mut self, service: &'static str) -> eyre::Result<()> {
        let index = self.backends.len();
        let ip = Ipv4Addr::new(127, self.subnet, 240, (index % 250) as u8 + 1);
        let listener = TcpListener::bind((ip, 0)).await?;
        let target = listener.local_addr()?;
        let id = format!("i-{index:04}");
        let server = Server::start(listener, &id, service, self.ledger.clone());
        server.set_behaviour(self.options.healthy_behaviour());
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let link = Arc::new(Relay::start(listener, target));
        let leaving = Arc::new(AtomicBool::new(false));
        tokio::spawn(follow_process(
            server.clone(),
            link.clone(),
            (address, service),
            leaving.clone(),
            self.store.clone(),
        ));
        if service == CRASHING_SERVICE {
            server.set_crash_rule(self.crash_rule.clone());
        }
        for source in &self.path_cuts {
            link.set_source_cut(*source, true);
        }
        self.backends.push(Backend {
            server,
            service,
            address,
            link,
            leaving_since: None,
            leaving,
            limits: Vec::new(),
        });
        self.write_server_row(index, "ready");
        Ok(())
    }

    /// Writes the row of a backend server with the given state to the store.
    pub fn write_server_row(&mut self, index: usize, state: &str) {
        let backend = &mut self.backends[index];
        if state == "draining" && backend.leaving_since.is_none() {
            backend.leaving_since = Some(Instant::now());
            backend.leaving.store(true, Ordering::Relaxed);
        }
        let start = backend.server.starts();
        let row = fixtures::restarted_row(backend.address, backend.service, "zone-a", state, start);
        let id = backend.server.id();
        self.store.put("servers", id, row.to_string().as_bytes());
    }

    async fn add_instance(&mut self, index: usize, store: SocketAddr) -> eyre::Result<()> {
        let ip = Ipv4Addr::new(
            127,
            self.subnet,
            (index / 200) as u8 + 1,
            (index % 200) as u8 + 1,
        );
        let listener = TcpListener::bind((ip, 0)).await?;
        let link_address = listener.local_addr()?;
        let store_link = Relay::start(listener, store);
        let name = format!("front-{index}");
        let settings = fixtures::settings(&name, ip.into(), "zone-a", link_address);
        let file = self.options.out.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())?;
        self.instances.push(Instance {
            ip: ip.into(),
            store_link,
            name,
            child: None,
        });
        self.launch(index)
    }

    /// Id of the process of an instance, which may have exited.
    pub fn process(&self, index: usize) -> Option<u32> {
        self.instances[index].child.as_ref().map(Child::id)
    }

    /// Whether the process of an instance is running.
    ///
    /// # Errors
    ///
    /// When the state of the process can't be read.
    pub fn is_running(&mut self, index: usize) -> eyre::Result<bool> {
        match &mut self.instances[index].child {
            Some(child) => Ok(child.try_wait()?.is_none()),
            None => Ok(false),
        }
    }

    /// Starts the process of an instance, unless it is running.
    ///
    /// # Errors
    ///
    /// When the log can't be opened or the program can't be started.
    pub fn launch(&mut self, index: usize) -> eyre::Result<()> {
        if self.is_running(index)? {
            return Ok(());
        }
        let instance = &mut self.instances[index];
        let program = std::env::current_exe()?;
        let folder = program
            .parent()
            .ok_or_eyre("the path of this program has no parent folder")?;
        // Cargo puts test programs into `deps`, one folder below the other programs.
        let folder = folder.without_deps();
        let log = self.options.out.join(format!("{}.log", instance.name));
        let log = File::options().create(true).append(true).open(log)?;
        let settings = self.options.out.join(format!("{}.json", instance.name));
        let child = Command::new(folder.join("wisteria-gateway"))
            .arg("--settings")
            .arg(settings)
            .arg("--source")
            .arg(instance.ip.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("failed to start wisteria-gateway")?;
        instance.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.instances[index].child.as_ref();
        let pid = child.and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // Fails if the process has already exited, which needs no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// When an instance does not become ready in time.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        for instance in &self.instances {
            while !instance.is_ready().await {
                if Instant::now() > end {
                    bail!("{} did not become ready in time", instance.name);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Kills all gateway processes.
    pub fn stop(&mut self) {
        for index in 0..self.instances.len() {
            self.signal(index, Signal::CONT);
            self.signal(index, Signal::KILL);
            if let Some(mut child) = self.instances[index].child.take() {
                // Reaps the process. It was killed, so this doesn't block for long.
                let _ = child.wait();
            }
        }
    }
}

/// Lets the link refuse connections while a server's process is down, and writes its row when it has
/// started again.
async fn follow_process(
    server: Arc<Server>,
    link: Arc<Relay>,
    (address, service): (SocketAddr, &'static str),
    leaving: Arc<AtomicBool>,
    store: Arc<Store>,
) {
    let mut process = server.watch_process();
    while process.changed().await.is_ok() {
        let now = *process.borrow();
        link.set_down(!matches!(now, Process::Up(_)));
        if let Process::Up(start) = now {
            let is_leaving = leaving.load(Ordering::Relaxed);
            let state = if is_leaving { "draining" } else { "ready" };
            let row = fixtures::restarted_row(address, service, "zone-a", state, start);
            store.put("servers", server.id(), row.to_string().as_bytes());
        }
    }
}

/// Takes a subnet that no other run has. Returns its second octet, and the listener of the store.
async fn claim_subnet() -> eyre::Result<(u8, TcpListener)> {
    for index in 0..SUBNETS {
        let subnet = (std::process::id() + index) % SUBNETS + SUBNET_MIN;
        let subnet = subnet as u8;
        let ip = Ipv4Addr::new(127, subnet, 250, 1);
        match TcpListener::bind((ip, STORE_PORT)).await {
            Err(err) if err.kind() == io::ErrorKind::AddrInUse => {}
            result => return Ok((subnet, result?)),
        }
    }
    bail!("all subnets are in use")
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Instance {
    /// How the process ended; `None` while it runs.
    ///
    /// # Errors
    ///
    /// When the state of the process can't be read.
    pub fn exit(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }

    /// Whether the process has started and has not ended.
    pub async fn listens(&self) -> bool {
        TcpStream::connect((self.ip, fixtures::READY_PORT))
            .await
            .is_ok()
    }

    async fn is_ready(&self) -> bool {
        let client = Client {
            pool: Pool::new(wb_http::pool::Options::default()),
            address: SocketAddr::new(self.ip, fixtures::READY_PORT),
            timeout: Duration::from_secs(1),
            token: None,
        };
        let response = client.get("/-/readiness").await;
        response.is_ok_and(|response| response.status.is_success())
    }
}

/// Finds the folder of the programs from the folder of this program.
trait ProgramFolder {
    fn without_deps(&self) -> PathBuf;
}

impl ProgramFolder for std::path::Path {
    fn without_deps(&self) -> PathBuf {
        let parent = self.parent().filter(|_| self.ends_with("deps"));
        parent.unwrap_or(self).to_path_buf()
    }
}
