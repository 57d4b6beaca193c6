//! Processes, stand-ins and the links between them.

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
use eyre::OptionExt;
use eyre::bail;
use rustix::process::Pid;
use rustix::process::Signal;
use tokio::net::TcpListener;
use wb_http::Pool;
use wb_http::client::Client;
use wb_http::serve;
use wb_stand::published::Ledger;
use wb_stand::published::Server;
use wb_stand::published::Store;
use wb_stand::published::fixtures;
use wb_stand::published::server::Behaviour;
use wb_stand::published::store::StoreHandler;
use wb_stand::relay::Relay;

/// Longest wait until all daemons are ready.
const READY: Duration = Duration::from_secs(20);
/// Time that a request takes at a sound server.
const WORK: Duration = Duration::from_millis(40);

/// What to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Folder for settings and logs.
    pub out: PathBuf,
    /// Seed of the faults.
    pub seed: u64,
    /// Daemons.
    pub daemons: usize,
    /// Backend servers of each service.
    pub servers: usize,
}

/// A backend server behind a link.
pub struct Backend {
    /// The server.
    pub server: Arc<Server>,
    /// Its service.
    pub service: &'static str,
    /// Address of the link to it.
    pub address: SocketAddr,
    /// The link.
    pub link: Relay,
    /// When it said that it leaves.
    pub left: Option<Instant>,
}

/// A daemon, and its link to the store.
pub struct Daemon {
    /// Its address.
    pub ip: IpAddr,
    /// Its link to the store.
    pub link: Relay,
    name: String,
    child: Option<Child>,
}

/// Processes, stand-ins and links.
pub struct World {
    /// What to start.
    pub options: Options,
    /// The store.
    pub store: Arc<Store>,
    /// All that servers ran.
    pub ledger: Arc<Ledger>,
    /// Backend servers.
    pub backends: Vec<Backend>,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// Version of the newest configuration.
    pub version: u64,
    net: u8,
    _open: tokio::sync::watch::Sender<bool>,
}

impl World {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// When an address or a process can't be had.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        fs::create_dir_all(&options.out).wrap_err("the output folder can't be made")?;
        let net = (std::process::id() % 200) as u8 + 20;
        let store = Arc::new(Store::default());
        let (open, never) = tokio::sync::watch::channel(false);
        let listener = TcpListener::bind((Ipv4Addr::new(127, net, 250, 1), 0)).await?;
        let address = listener.local_addr()?;
        let calls = Arc::new(StoreHandler(store.clone()));
        tokio::spawn(serve::serve(
            listener,
            serve::Options::default(),
            calls,
            never,
        ));
        let mut world = Self {
            store,
            ledger: Arc::default(),
            backends: Vec::new(),
            daemons: Vec::new(),
            version: 0,
            net,
            options,
            _open: open,
        };
        world.configure();
        for _ in 0..world.options.servers {
            world.add_backend("registry").await?;
            world.add_backend("patterns").await?;
        }
        for index in 0..world.options.daemons {
            world.add_daemon(index, address).await?;
        }
        Ok(world)
    }

    /// Writes the next configuration, with one route more than the last.
    pub fn configure(&mut self) {
        self.version += 1;
        let config = fixtures::config(self.version, self.version as usize - 1);
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }

    /// Starts a backend server and lists it.
    ///
    /// # Errors
    ///
    /// When its address can't be had.
    pub async fn add_backend(&mut self, service: &'static str) -> eyre::Result<()> {
        let index = self.backends.len();
        let ip = Ipv4Addr::new(127, self.net, 240, (index % 250) as u8 + 1);
        let listener = TcpListener::bind((ip, 0)).await?;
        let target = listener.local_addr()?;
        let id = format!("i-{index:04}");
        let server = Server::start(listener, &id, service, self.ledger.clone());
        server.set_behaviour(sound());
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let link = Relay::start(listener, target);
        self.backends.push(Backend {
            server,
            service,
            address,
            link,
            left: None,
        });
        self.list(index, "ready");
        Ok(())
    }

    /// Writes the row of a backend server.
    pub fn list(&mut self, index: usize, state: &str) {
        let backend = &mut self.backends[index];
        if state == "draining" && backend.left.is_none() {
            backend.left = Some(Instant::now());
        }
        let row = fixtures::server_row(backend.address, backend.service, "zone-a", state);
        let id = backend.server.id();
        self.store.put("servers", id, row.to_string().as_bytes());
    }

    async fn add_daemon(&mut self, index: usize, store: SocketAddr) -> eyre::Result<()> {
        let place = Ipv4Addr::new(
            127,
            self.net,
            (index / 200) as u8 + 1,
            (index % 200) as u8 + 1,
        );
        let listener = TcpListener::bind((place, 0)).await?;
        let through = listener.local_addr()?;
        let link = Relay::start(listener, store);
        let name = format!("front-{index}");
        let settings = fixtures::settings(&name, place.into(), "zone-a", through);
        let file = self.options.out.join(format!("{name}.json"));
        fs::write(&file, settings.to_string())?;
        self.daemons.push(Daemon {
            ip: place.into(),
            link,
            name,
            child: None,
        });
        self.launch(index)
    }

    /// Starts a daemon's process, if none runs.
    ///
    /// # Errors
    ///
    /// When the program can't be run.
    pub fn launch(&mut self, index: usize) -> eyre::Result<()> {
        let daemon = &mut self.daemons[index];
        if let Some(child) = &mut daemon.child
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        let program = std::env::current_exe()?;
        let folder = program.parent().ok_or_eyre("the program has a folder")?;
        // Tests run one folder below the programs.
        let folder = folder.strip_suffix_deps();
        let log = self.options.out.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log)?;
        let settings = self.options.out.join(format!("{}.json", daemon.name));
        let child = Command::new(folder.join("wisteria-gateway"))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err("wisteria-gateway can't be started")?;
        daemon.child = Some(child);
        Ok(())
    }

    /// Sends a signal to a daemon's process.
    pub fn signal(&self, index: usize, signal: Signal) {
        let child = self.daemons[index].child.as_ref();
        let pid = child.and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            // A process that has ended already needs no signal.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// When one does not get ready.
    pub async fn until_ready(&self) -> eyre::Result<()> {
        let end = Instant::now() + READY;
        for daemon in &self.daemons {
            while !daemon.is_ready().await {
                if Instant::now() > end {
                    bail!("{} is not ready", daemon.name);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        for index in 0..self.daemons.len() {
            self.signal(index, Signal::CONT);
            self.signal(index, Signal::KILL);
            if let Some(mut child) = self.daemons[index].child.take() {
                // It was killed, so that its end is near.
                let _ = child.wait();
            }
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Daemon {
    async fn is_ready(&self) -> bool {
        let target = Client {
            pool: Pool::new(wb_http::pool::Options::default()),
            address: SocketAddr::new(self.ip, fixtures::READY_PORT),
            timeout: Duration::from_secs(1),
            token: None,
        };
        let answer = target.get("/-/readiness").await;
        answer.is_ok_and(|whole| whole.status.is_success())
    }
}

/// What a sound server does.
pub fn sound() -> Behaviour {
    Behaviour {
        work: WORK,
        ..Behaviour::default()
    }
}

/// Folder of the programs, from that of a test program.
trait ProgramFolder {
    fn strip_suffix_deps(&self) -> PathBuf;
}

impl ProgramFolder for std::path::Path {
    fn strip_suffix_deps(&self) -> PathBuf {
        let parent = self.parent().filter(|_| self.ends_with("deps"));
        parent.unwrap_or(self).to_path_buf()
    }
}
