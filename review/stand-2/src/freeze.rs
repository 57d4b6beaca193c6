//! Machines are suspended one after the other while requests arrive. Later, in calm, it is counted
//! how many servers get requests, and how many requests are served.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IndexedRandom;
use rustix::process::Signal;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wb_stand::published::fixtures;

use crate::bed::Bed;
use crate::bed::Daemon;
use crate::client;
use crate::record::Record;
use crate::record::Sent;
use crate::server::Run;
use crate::server::Runs;
use crate::server::Server;

/// Bounds of the users' sheet.
const BOUNDS: [&str; 9] = [
    "stable_window_ms=3000",
    "drain_ms=2500",
    "grace_s=6",
    "config_apply_ms=2500",
    "retry_budget_ratio=0.2",
    "budget_window_s=10",
    "budget_extra=174",
    "ttl_max_s=5",
    "floor_share=0.7",
];
/// Daemons.
const DAEMONS: u8 = 3;
/// Servers of the service, as on the sheet.
const SERVERS: u8 = 12;
/// Slots of each, as on the sheet.
const SLOTS: usize = 3;
/// Mean time that a request takes, as on the sheet.
const WORK_MS: u64 = 230;
/// Time budget of a request, as on the sheet.
const BUDGET: Duration = Duration::from_millis(4000);
/// Time after which a client leaves a daemon that has not read its idempotent request.
const UNREAD: Duration = Duration::from_secs(1);
/// Length of each suspension, the dose of the site file.
const FREEZE: Duration = Duration::from_millis(3500);
/// Time before the first suspension.
const PAUSE: Duration = Duration::from_secs(2);
/// Suspensions, of each daemon in turn.
const FREEZES: usize = 5;
/// Load while daemons are suspended, relative to what the servers can run.
const LOAD: f64 = 0.6;
/// Time after a suspension before the rule is judged: the users' stable window, and more.
const SETTLE: Duration = Duration::from_millis(3500);
/// Loads after that, relative to what the servers can run.
const LOADS: [f64; 6] = [0.1, 0.18, 0.3, 0.45, 0.6, 0.75];
/// Time of each of these loads.
const LOAD_TIME: Duration = Duration::from_millis(1300);
/// Time without load at the start.
const START: Duration = Duration::from_secs(4);
/// Share of the sound servers that must get requests.
const FLOOR_SHARE: f64 = 0.7;
/// Length of the rule's windows.
const WINDOW: Duration = Duration::from_secs(2);
/// Distance of the windows that are judged.
const WINDOW_STEP: Duration = Duration::from_millis(250);

/// The daemon that is suspended, and since when.
#[derive(Default)]
struct Suspended(Mutex<Option<(SocketAddr, Instant)>>);

impl Suspended {
    fn set(&self, daemon: Option<SocketAddr>) {
        let mut suspended = self.0.lock().expect("lock is not poisoned");
        *suspended = daemon.map(|daemon| (daemon, Instant::now()));
    }

    /// Whether a daemon has read nothing since `at`.
    fn has_not_read(&self, daemon: SocketAddr, at: Instant) -> bool {
        let suspended = *self.0.lock().expect("lock is not poisoned");
        suspended.is_some_and(|(other, since)| other == daemon && since <= at)
    }
}

/// What all clients share.
struct Clients {
    daemons: Vec<SocketAddr>,
    suspended: Suspended,
    record: Record,
}

impl Clients {
    /// Sends requests at even intervals, each over a new connection to a daemon chosen at random.
    async fn load(self: &Arc<Self>, rate: f64, time: Duration) {
        let end = Instant::now() + time;
        let mut next = tokio::time::Instant::now();
        while Instant::now() < end {
            next += Duration::from_secs_f64(1.0 / rate);
            tokio::time::sleep_until(next).await;
            if let Some(daemon) = self.daemons.choose(&mut rand::rng()) {
                tokio::spawn(self.clone().send(*daemon));
            }
        }
    }

    async fn send(self: Arc<Self>, daemon: SocketAddr) {
        let id = format!("{:016x}", rand::random::<u64>());
        let at = Instant::now();
        let (status, note) = tokio::select! {
            result = tokio::time::timeout(BUDGET, exchange(daemon, &id)) => match result {
                Ok(Ok(status)) => (Some(status), ""),
                Ok(Err(_)) => (None, "connection closed"),
                Err(_) => (None, "time budget over"),
            },
            () = self.unread(daemon, at) => (None, "the client left, as its request was not read"),
        };
        self.record.sent(Sent {
            id,
            to: daemon.to_string(),
            at,
            end: Instant::now(),
            status,
            note,
        });
    }

    /// Returns when a client leaves a daemon that has not read its request in time.
    async fn unread(&self, daemon: SocketAddr, at: Instant) {
        tokio::time::sleep(UNREAD).await;
        if !self.suspended.has_not_read(daemon, at) {
            std::future::pending::<()>().await;
        }
    }
}

async fn exchange(daemon: SocketAddr, id: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(daemon).await?;
    let request = format!(
        "GET /lookup/{id} HTTP/1.1\r\nHost: site.example\r\nX-Wisteriabarrow-Request-Id: {id}\r\nX-Wisteriabarrow-Deadline-Ms: {}\r\n\r\n",
        BUDGET.as_millis()
    );
    stream.write_all(request.as_bytes()).await?;
    let answer = client::read_answer(&mut stream, &mut Vec::new()).await?;
    Ok(answer.status)
}

/// Suspends a daemon, if there is trouble, and sends requests meanwhile and afterwards. Returns when
/// the rule is judged from, and until when.
async fn cycle(
    daemon: &Daemon,
    clients: &Arc<Clients>,
    capacity: f64,
    trouble: bool,
) -> eyre::Result<(Instant, Instant)> {
    clients.load(capacity * LOAD, PAUSE).await;
    if trouble {
        clients
            .record
            .note(format!("suspended: {}", daemon.front()));
        clients.suspended.set(Some(daemon.front()));
        daemon.signal(Signal::STOP)?;
    }
    clients.load(capacity * LOAD, FREEZE).await;
    if trouble {
        clients.suspended.set(None);
        daemon.signal(Signal::CONT)?;
        clients.record.note(format!("goes on: {}", daemon.front()));
    }
    clients.load(capacity * LOAD, SETTLE).await;
    let from = Instant::now();
    for part in LOADS {
        clients.load(capacity * part, LOAD_TIME).await;
    }
    Ok((from, Instant::now()))
}

/// Requests and servers in use in a time.
struct Window {
    requests: usize,
    unserved: usize,
    servers: usize,
}

impl Window {
    fn new(sent: &[Sent], runs: &[Run], from: Instant, to: Instant) -> Self {
        let inside = sent.iter().filter(|one| one.at >= from && one.at < to);
        let (mut requests, mut unserved) = (0, 0);
        for one in inside {
            requests += 1;
            unserved += usize::from(one.status != Some(200));
        }
        let began = runs
            .iter()
            .filter(|run| run.began >= from && run.began < to);
        let servers: BTreeSet<&str> = began.map(|run| run.server.as_str()).collect();
        Self {
            requests,
            unserved,
            servers: servers.len(),
        }
    }

    /// Whether some, but less than the floor's share of the servers get requests, while more than a
    /// tenth of the requests, but under half, aren't served.
    fn breaks_floor(&self) -> bool {
        let lost = self.unserved as f64 / self.requests.max(1) as f64;
        let used = self.servers as f64 / f64::from(SERVERS);
        lost > 0.1 && lost < 0.5 && used > 0.0 && used < FLOOR_SHARE
    }
}

/// Judges the windows of a time. Returns whether the rule is broken in one.
fn judge(record: &Record, sent: &[Sent], runs: &[Run], from: Instant, to: Instant) -> bool {
    let mut broken = false;
    let mut start = from;
    while start + WINDOW <= to {
        let window = Window::new(sent, runs, start, start + WINDOW);
        let breaks = window.breaks_floor();
        if breaks || start == from {
            record.say(format!(
                "2 s from {:7.2} s: {} requests, {} not served, {} of {SERVERS} servers in use{}",
                record.age(start).as_secs_f64(),
                window.requests,
                window.unserved,
                window.servers,
                if breaks { ": FLOOR broken" } else { "" }
            ));
        }
        broken |= breaks;
        start += WINDOW_STEP;
    }
    broken
}

/// Runs the case. Returns whether the rule was broken.
pub async fn run(record: &Record, trouble: bool) -> eyre::Result<bool> {
    let bed = Bed::start(&BOUNDS).await?;
    let mut config = fixtures::config(1, 0);
    let route = &mut config["routes"]["lookup"];
    route["target_latency_ms"] = json!(1200);
    route["timeout_ms"] = json!(4000);
    config["services"]["registry"]["max_conns"] = json!(1380);
    bed.write_config(&config);
    let runs = Runs::default();
    for index in 0..SERVERS {
        let name = format!("i-{index}");
        let address = SocketAddr::new(bed.ip(100 + index), 8500);
        let work =
            |_: &str| Duration::from_millis(rand::random_range(WORK_MS / 2..WORK_MS * 3 / 2));
        Server::start(&name, address, SLOTS, Arc::new(work), runs.clone()).await?;
        let mut row = fixtures::server_row(address, "registry", "zone-a", "ready");
        row["info"]["slots"] = json!(SLOTS);
        bed.write_server(&name, &row);
    }
    let mut daemons = Vec::new();
    for octet in 1..=DAEMONS {
        daemons.push(bed.start_daemon(octet)?);
    }
    for daemon in &daemons {
        bed.wait_ready(daemon).await?;
    }
    tokio::time::sleep(START).await;
    let clients = Arc::new(Clients {
        daemons: daemons.iter().map(Daemon::front).collect(),
        suspended: Suspended::default(),
        record: record.clone(),
    });
    let capacity = f64::from(SERVERS) * SLOTS as f64 * 1000.0 / WORK_MS as f64;
    let mut judged = Vec::new();
    for daemon in daemons.iter().cycle().take(FREEZES) {
        judged.push(cycle(daemon, &clients, capacity, trouble).await?);
    }
    tokio::time::sleep(BUDGET + Duration::from_millis(200)).await;
    let runs = runs.all();
    for run in &runs {
        record.note_at(run.began, format!("server {} runs {}", run.server, run.id));
        if let Some(ended) = run.ended {
            let text = format!("server {} has answered {}", run.server, run.id);
            record.note_at(ended, text);
        }
    }
    let sent = record.all_sent();
    let mut broken = false;
    for (from, to) in judged {
        broken |= judge(record, &sent, &runs, from, to);
        let all = Window::new(&sent, &runs, from, to);
        record.say(format!(
            "in all: {} requests, {} not served",
            all.requests, all.unserved
        ));
    }
    Ok(broken)
}
