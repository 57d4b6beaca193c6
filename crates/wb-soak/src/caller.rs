//! Callers that send requests through the fleet and record the responses.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use rand::seq::IndexedRandom;
use serde_json::Value;
use wb_http::Pool;
use wb_http::body;
use wb_http::client::Client;
use wb_http::pool::SendOptions;
use wb_stand::published::Server;
use wb_stand::published::fixtures;
use wb_stand::published::server::DEADLINE;
use wb_stand::published::server::KEY;
use wb_stand::published::server::REQUEST_ID;
use wb_stand::published::server::SERVER_LEAVING;
use wb_stand::published::server::SIGNATURE;
use wb_stand::published::server::is_valid_response;

use crate::testbed::TEAMS;
use crate::testbed::Testbed;

/// Number of callers that send concurrently.
const CALLERS: usize = 16;
/// Timeout of a directory lookup.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);
/// One in this many callers looks addresses up again only when all that it has have failed it.
const STICKY_EVERY: usize = 2;
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);

/// Number of callers that leave early, where there are any.
const LEAVERS: usize = 64;
/// Pause of such a caller between two requests.
const LEAVER_PAUSE: Duration = Duration::from_millis(20);
/// Time after which it leaves, in milliseconds.
const LEAVER_PATIENCE_MS: Range<u64> = 20..300;

/// Pause of the caller of requests that make servers end.
const CRASHING_PAUSE: Duration = Duration::from_millis(200);

/// Result of one request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerResult {
    /// Id of the request.
    pub id: String,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Name of the caller's team.
    pub team: &'static str,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the response was complete or had failed.
    pub ended_at: Instant,
    /// Status of the response; `None` if no complete response arrived.
    pub status: Option<u16>,
    /// Whether headers and body are those of a complete success response to this request.
    pub valid: bool,
    /// Address of the instance that it was sent to.
    pub instance: SocketAddr,
    /// When the response was complete, and the server that says in it that it is leaving.
    pub leaving: Option<(Instant, String)>,
}

/// Results of all requests.
#[derive(Debug, Default)]
pub struct Results {
    /// Requests of usual callers.
    pub usual: Vec<CallerResult>,
    /// Requests that make servers end.
    pub crashing: Vec<CallerResult>,
    /// Requests of callers that leave early. Those that nobody waited for have no status.
    pub leavers: Vec<CallerResult>,
}

/// Callers that send requests until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    /// Stops those that leave early.
    stop_leavers: Arc<AtomicBool>,
    results: Arc<Mutex<Vec<CallerResult>>>,
    /// Results of the requests that make servers end.
    crashing: Arc<Mutex<Vec<CallerResult>>>,
    /// Results of callers that leave early.
    leavers: Arc<Mutex<Vec<CallerResult>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts all callers.
    pub fn start(testbed: &Testbed) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let results: Arc<Mutex<Vec<CallerResult>>> = Arc::default();
        let directories: Vec<SocketAddr> = testbed
            .instances
            .iter()
            .map(|instance| SocketAddr::new(instance.ip, fixtures::DIRECTORY_PORT))
            .collect();
        let caller = |index| Caller {
            index,
            pool: Pool::new(wb_http::pool::Options::default()),
            directories: directories.clone(),
            addresses: Vec::new(),
            valid_until: Instant::now(),
            deadline: testbed.options.deadline(),
            sticky: index % STICKY_EVERY == 0,
            key: testbed.options.teams.then(|| team_of(index).1),
        };
        let run = |index| tokio::spawn(caller(index).run(stop.clone(), results.clone()));
        let mut tasks: Vec<_> = (0..CALLERS).map(run).collect();
        let crashing: Arc<Mutex<Vec<CallerResult>>> = Arc::default();
        let servers = testbed.backends.iter();
        let server = servers.map(|backend| backend.server.clone()).next();
        let server = server.expect("there are servers");
        let run = caller(CALLERS).run_crashing(server, stop.clone(), crashing.clone());
        tasks.push(tokio::spawn(run));
        let leavers: Arc<Mutex<Vec<CallerResult>>> = Arc::default();
        let count = if testbed.options.leavers { LEAVERS } else { 0 };
        let stop_leavers: Arc<AtomicBool> = Arc::default();
        let run = |index| caller(index).run_leaving(stop_leavers.clone(), leavers.clone());
        let first = CALLERS + 1;
        tasks.extend((first..first + count).map(run).map(tokio::spawn));
        Self {
            tasks,
            stop,
            stop_leavers,
            results,
            crashing,
            leavers,
        }
    }

    /// Stops the callers that leave early: they may ask for more than the servers that are left can run.
    pub fn stop_leavers(&self) {
        self.stop_leavers.store(true, Ordering::Relaxed);
    }

    /// Stops all callers. Returns the results of their requests.
    pub async fn finish(self) -> Results {
        self.stop_leavers();
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
        let taken = |results: &Mutex<Vec<CallerResult>>| {
            let results = results.lock().expect("lock is not poisoned");
            results.clone()
        };
        Results {
            usual: taken(&self.results),
            crashing: taken(&self.crashing),
            leavers: taken(&self.leavers),
        }
    }
}

/// Name and key of a caller's team.
fn team_of(caller: usize) -> (&'static str, &'static str) {
    TEAMS[caller % TEAMS.len()]
}

/// One caller with its own pool of persistent connections.
struct Caller {
    index: usize,
    pool: Pool,
    directories: Vec<SocketAddr>,
    /// Instances from the last directory lookup, without those that failed since.
    addresses: Vec<SocketAddr>,
    /// When the TTL of the last lookup ends.
    valid_until: Instant,
    /// Deadline of the requests. The caller gives up after twice this time.
    deadline: Duration,
    /// Whether addresses and open connections are used until they fail, whatever the TTL.
    sticky: bool,
    /// Key that it sends, if any.
    key: Option<&'static str>,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>, results: Arc<Mutex<Vec<CallerResult>>>) {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(REQUEST_PAUSE).await;
            self.resolve().await;
            let Some(address) = self.addresses.choose(&mut rand::rng()).copied() else {
                continue;
            };
            count += 1;
            let id = format!("c{}-{count}", self.index);
            let once = count % 3 != 0;
            let path = if once { "/order/7" } else { "/lookup/7" };
            let result = self.send(address, id, once, path).await;
            if result.status.is_none() {
                self.addresses.retain(|known| *known != address);
                self.pool.close_idle(address);
            }
            results.lock().expect("lock is not poisoned").push(result);
        }
    }

    /// Sends the request that makes servers end again and again, once there is one.
    async fn run_crashing(
        mut self,
        server: Arc<Server>,
        stop: Arc<AtomicBool>,
        results: Arc<Mutex<Vec<CallerResult>>>,
    ) {
        for count in 0.. {
            tokio::time::sleep(CRASHING_PAUSE).await;
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let Some(rule) = server.crash_rule() else {
                continue;
            };
            self.resolve().await;
            let Some(address) = self.addresses.choose(&mut rand::rng()).copied() else {
                continue;
            };
            let id = format!("crashing-{count}");
            let result = self.send(address, id, false, &rule.path).await;
            if result.status.is_none() {
                self.addresses.retain(|known| *known != address);
                self.pool.close_idle(address);
            }
            results.lock().expect("lock is not poisoned").push(result);
        }
    }

    /// Sends lookups and leaves before most of them are answered.
    async fn run_leaving(mut self, stop: Arc<AtomicBool>, results: Arc<Mutex<Vec<CallerResult>>>) {
        for count in 0.. {
            tokio::time::sleep(LEAVER_PAUSE).await;
            if stop.load(Ordering::Relaxed) {
                return;
            }
            self.resolve().await;
            let Some(address) = self.addresses.choose(&mut rand::rng()).copied() else {
                continue;
            };
            let id = format!("leaver{}-{count}", self.index);
            let sent_at = Instant::now();
            let patience = Duration::from_millis(rand::random_range(LEAVER_PATIENCE_MS));
            let sending = self.send(address, id.clone(), false, "/lookup/7");
            let result = tokio::time::timeout(patience, sending).await;
            let result = result.unwrap_or_else(|_| CallerResult {
                id,
                once: false,
                team: team_of(self.index).0,
                sent_at,
                ended_at: Instant::now(),
                status: None,
                valid: false,
                instance: address,
                leaving: None,
            });
            results.lock().expect("lock is not poisoned").push(result);
        }
    }

    /// Looks the addresses up again when their TTL has expired or all of them have failed.
    async fn resolve(&mut self) {
        let valid = self.sticky || Instant::now() < self.valid_until;
        if !self.addresses.is_empty() && valid {
            return;
        }
        for _ in 0..3 {
            let address = *self
                .directories
                .choose(&mut rand::rng())
                .expect("there are instances");
            let client = Client {
                pool: self.pool.clone(),
                address,
                timeout: DIRECTORY_TIMEOUT,
                token: None,
            };
            let path = "/-/resolve?name=site.example&region=region&zone=zone-a";
            let response = client.get(path).await.ok();
            let Some(response) = response.and_then(|response| response.json::<Value>().ok()) else {
                continue;
            };
            let ttl = response["ttl_s"].as_f64().unwrap_or(1.0);
            let addresses = response["addresses"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let addresses = addresses
                .iter()
                .filter_map(|text| text.as_str()?.parse().ok());
            self.addresses = addresses.collect();
            self.valid_until = Instant::now() + Duration::from_secs_f64(ttl);
            return;
        }
    }

    async fn send(&self, address: SocketAddr, id: String, once: bool, path: &str) -> CallerResult {
        let method = if once { "POST" } else { "GET" };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "site.example")
            .header(REQUEST_ID, &id)
            .header(DEADLINE, self.deadline.as_millis() as u64);
        if let Some(key) = self.key {
            request = request.header(KEY, key);
        }
        let request = request
            .body(body::full(if once { vec![1; 300] } else { Vec::new() }))
            .expect("the request is valid");
        let sent_at = Instant::now();
        let options = SendOptions::new(64, true);
        let exchange = async {
            let response = self.pool.send(address, options, request).await.ok()?;
            let (head, body) = response.into_parts();
            let bytes = body.collect().await.ok()?.to_bytes();
            let valid = is_valid_response(&head.headers, &bytes, &id);
            let leaving = leaving_server(&head.headers).map(|server| (Instant::now(), server));
            Some((head.status.as_u16(), valid, leaving))
        };
        let response = tokio::time::timeout(self.deadline * 2, exchange)
            .await
            .ok()
            .flatten();
        CallerResult {
            id,
            once,
            team: team_of(self.index).0,
            sent_at,
            ended_at: Instant::now(),
            status: response.as_ref().map(|(status, ..)| *status),
            valid: response.as_ref().is_some_and(|(_, valid, _)| *valid),
            instance: address,
            leaving: response.and_then(|(.., leaving)| leaving),
        }
    }
}

/// The server of a response, if it says that it is leaving.
fn leaving_server(headers: &HeaderMap) -> Option<String> {
    headers.get(SERVER_LEAVING)?;
    let signature = headers.get(SIGNATURE)?.to_str().ok()?;
    let (server, _) = signature.split_once('.')?;
    Some(server.to_owned())
}
