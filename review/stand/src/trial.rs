//! A small deployment: a store, backend servers and daemons on loopback addresses.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::caller;
use crate::caller::Request;
use crate::daemon;
use crate::daemon::Daemon;
use crate::record::Record;
use crate::server::Runs;
use crate::server::Server;
use crate::store::Store;

/// Second octets of the loopback addresses from which one is taken.
const SUBNETS: u32 = 100;
/// The lowest of them.
const SUBNET_MIN: u32 = 60;
/// Port that marks a subnet as taken, also for the project's own soak.
const MARK_PORT: u16 = 8150;

/// Interval at which servers write their rows: `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not be run.
    NotRun,
}

/// A route of the configuration.
pub struct Route {
    /// Its prefix.
    pub prefix: &'static str,
    /// Its kind.
    pub kind: &'static str,
    /// Its service.
    pub service: &'static str,
}

/// A small deployment.
pub struct Trial {
    /// Record of the run.
    pub record: Arc<Record>,
    /// The store.
    pub store: Arc<Store>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// What the servers ran.
    pub runs: Arc<Runs>,
    /// The servers.
    pub servers: Vec<Arc<Server>>,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    subnet: u8,
    serial: AtomicU64,
    seq_no: Arc<AtomicU64>,
    _mark: TcpListener,
}

/// How a request of a caller ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Id of the request.
    pub id: String,
    /// When it was sent.
    pub sent: Duration,
    /// Status of the response; 0 if there was none.
    pub status: u16,
    /// Servers that ran it.
    pub servers: Vec<String>,
    /// Server that signed the response, empty if none did.
    pub signer: String,
    /// Whether the response says that its server is leaving.
    pub says_leaving: bool,
}

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE")
        .is_ok_and(|value| value == "0")
        .eq(&false)
}

/// Unix milliseconds now.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Trial {
    /// Starts an empty store. The record lies at the path that the first argument names.
    ///
    /// # Errors
    ///
    /// If a file can't be written or no address is free.
    pub fn new() -> io::Result<Self> {
        let path = std::env::args().nth(1).unwrap_or_default();
        let record = Arc::new(Record::create(Path::new(&path))?);
        record.line(&format!("disruption: {}", has_trouble()));
        let (subnet, mark) = claim_subnet()?;
        let address = SocketAddr::new(Ipv4Addr::new(127, subnet, 250, 1).into(), 0);
        let (store, store_address) = Store::start(address, record.clone())?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            record,
            store,
            store_address,
            runs: Arc::default(),
            servers: Vec::new(),
            daemons: Vec::new(),
            folder,
            subnet,
            serial: AtomicU64::new(1),
            seq_no: Arc::new(AtomicU64::new(1)),
            _mark: mark,
        })
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Route]) {
        let text = config(version, routes);
        self.record
            .line(&format!("operator writes version {version}"));
        self.store.put("op", "config", &text);
        self.record
            .line(&format!("store acknowledges version {version}"));
    }

    /// An address of the deployment.
    pub fn address(&self, third: u8, fourth: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.subnet, third, fourth).into(), 0)
    }

    /// Starts a server, which writes its row now and at each heartbeat until it leaves or crashes.
    ///
    /// # Errors
    ///
    /// If its address can't be bound.
    pub fn add_server(&mut self, id: &str, service: &str) -> io::Result<Arc<Server>> {
        let address = self.address(240, self.servers.len() as u8 + 1);
        let server = Server::start(id, service, address, self.runs.clone(), self.record.clone())?;
        self.servers.push(server.clone());
        let born = unix_ms();
        self.write_row(&server, "ready", born);
        let (beating, store, seq_no) = (server.clone(), self.store.clone(), self.seq_no.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                // Held while the row is written, so that none is written once the server leaves.
                let manner = beating.manner();
                if manner.leaving || beating.is_down() {
                    return;
                }
                let seq_no = seq_no.fetch_add(1, Ordering::Relaxed);
                store.put("servers", &beating.id, &beating.row("ready", seq_no, born));
            }
        });
        Ok(server)
    }

    /// Writes the row of a server.
    pub fn write_row(&self, server: &Server, state: &str, born: u64) {
        let seq_no = self.seq_no.fetch_add(1, Ordering::Relaxed);
        let row = server.row(state, seq_no, born);
        self.store.put("servers", &server.id, &row);
        self.record.line(&format!(
            "store acknowledges the row of {}: {state}, born {born}",
            server.id
        ));
    }

    /// Removes the row of a server.
    pub fn remove_row(&self, server: &Server) {
        self.store.remove("servers", &server.id);
        self.record.line(&format!(
            "store acknowledges the removal of the row of {}",
            server.id
        ));
    }

    /// Starts daemons and waits until they are ready. Returns whether they are.
    ///
    /// # Errors
    ///
    /// If a process can't be started.
    pub fn start_daemons(&mut self, count: u8) -> io::Result<bool> {
        for index in 1..=count {
            let ip = Ipv4Addr::new(127, self.subnet, 1, index);
            let name = format!("front-zone-a-{index}");
            let daemon = Daemon::start(&self.folder, &name, ip, self.store_address)?;
            self.daemons.push(daemon);
        }
        let ready = daemon::wait_ready(&self.daemons);
        self.record.line(&format!("{count} daemons ready: {ready}"));
        Ok(ready)
    }

    /// Sends a request to a daemon and records how it ends.
    pub fn send(&self, daemon: &Daemon, method: &str, path: &str, wait: Duration) -> Ended {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let id = format!("{serial:016x}");
        let sent = self.record.now();
        self.record.line(&format!(
            "caller sends {id} to {}: {method} {path}",
            daemon.name
        ));
        let body: &[u8] = if method == "POST" { b"order" } else { b"" };
        let request = Request {
            method,
            path,
            id: &id,
            wait,
            body,
        };
        let response = caller::send(daemon.front(), &request);
        let status = response.as_ref().map_or(0, |response| response.status());
        let runs = self.runs.of(&id);
        let servers: Vec<String> = runs.into_iter().map(|run| run.server).collect();
        let header = |name| {
            response
                .as_ref()
                .map_or("", |response| response.header(name))
        };
        let signature = header("x-wisteriabarrow-response-signature");
        let signer = signature.split('.').next().unwrap_or("").to_owned();
        let says_leaving = header("server-leaving") == "1";
        let what = match response {
            Ok(_) => status.to_string(),
            Err(err) => err.to_string(),
        };
        self.record
            .line(&format!("caller gets for {id}: {what}; run by {servers:?}"));
        Ended {
            id,
            sent,
            status,
            servers,
            signer,
            says_leaving,
        }
    }

    /// Ends all daemons, removes the folder and returns the exit code of the case.
    pub fn end(mut self, verdict: Verdict, what: &str) -> ExitCode {
        self.record.line(&format!("verdict {verdict:?}: {what}"));
        println!("{verdict:?}: {what}");
        self.daemons.clear();
        match verdict {
            Verdict::Held => ExitCode::SUCCESS,
            Verdict::Broken => ExitCode::from(1),
            Verdict::NotRun => ExitCode::from(2),
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.daemons.clear();
        // What is left is removed with the temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Text of a configuration.
pub fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| {
            format!(
                r#""r-{index}":{{"host":"{}","prefix":"{}","kind":"{}","timeout_ms":3000,"target_latency_ms":600,"priority":1,"service":"{}","max_attempts":2}}"#,
                caller::HOST,
                route.prefix,
                route.kind,
                route.service
            )
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{{}}},"services":{{"registry":{{"health_path":"/health","max_conns":330}},"patterns":{{"health_path":"/health","max_conns":330}}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

/// Takes a subnet that no other run has.
fn claim_subnet() -> io::Result<(u8, TcpListener)> {
    let first = std::process::id();
    let mut result = Err(io::ErrorKind::AddrInUse.into());
    for index in 0..SUBNETS {
        let subnet = (SUBNET_MIN + (first + index) % SUBNETS) as u8;
        let mark = TcpListener::bind((Ipv4Addr::new(127, subnet, 250, 1), MARK_PORT));
        result = mark.map(|mark| (subnet, mark));
        if result.is_ok() {
            break;
        }
    }
    result
}
