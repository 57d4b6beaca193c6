//! Requests, and what their callers were told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http_body_util::BodyExt;
use rand::seq::IndexedRandom;
use serde_json::Value;
use wb_http::Pool;
use wb_http::body;
use wb_http::client::Client;
use wb_http::pool::SendOptions;
use wb_stand::published::fixtures;
use wb_stand::published::server::DEADLINE;
use wb_stand::published::server::REQUEST_ID;
use wb_stand::published::server::is_valid_response;

use crate::world::World;

/// Callers that send at a time.
const CALLERS: usize = 16;
/// Time that a caller waits for an answer.
const WAIT: Duration = Duration::from_millis(3000);
/// Time that a caller waits for the directory.
const ASK: Duration = Duration::from_secs(1);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// What a caller knows of one request.
#[derive(Clone, Debug)]
pub struct Told {
    /// Its id.
    pub id: String,
    /// Whether it must not run more than once.
    pub once: bool,
    /// When it was sent.
    pub at: Instant,
    /// Status of the answer; `None` if there was no whole one.
    pub status: Option<u16>,
    /// Whether a success was the whole answer to this request.
    pub whole: bool,
}

/// Callers that send until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Told>>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    /// Starts callers.
    pub fn start(world: &World) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told: Arc<Mutex<Vec<Told>>> = Arc::default();
        let directories: Vec<SocketAddr> = world
            .daemons
            .iter()
            .map(|daemon| SocketAddr::new(daemon.ip, fixtures::DIRECTORY_PORT))
            .collect();
        let tasks = (0..CALLERS).map(|index| {
            let caller = Caller {
                index,
                pool: Pool::new(wb_http::pool::Options::default()),
                directories: directories.clone(),
                known: Vec::new(),
                until: Instant::now(),
            };
            tokio::spawn(caller.run(stop.clone(), told.clone()))
        });
        Self {
            tasks: tasks.collect(),
            stop,
            told,
        }
    }

    /// Stops all callers. Returns what they were told.
    pub async fn finish(self) -> Vec<Told> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
        let told = self.told.lock().expect("no holder panics");
        told.clone()
    }
}

/// One caller, with connections of its own that it keeps open.
struct Caller {
    index: usize,
    pool: Pool,
    directories: Vec<SocketAddr>,
    known: Vec<SocketAddr>,
    until: Instant,
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>, told: Arc<Mutex<Vec<Told>>>) {
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(PAUSE).await;
            self.resolve().await;
            let Some(address) = self.known.choose(&mut rand::rng()).copied() else {
                continue;
            };
            count += 1;
            let id = format!("c{}-{count}", self.index);
            let one = self.send(address, id, count % 3 != 0).await;
            if one.status.is_none() {
                self.known.retain(|known| *known != address);
                self.pool.close_idle(address);
            }
            told.lock().expect("no holder panics").push(one);
        }
    }

    /// Asks a directory again when its answer is old or used up.
    async fn resolve(&mut self) {
        if !self.known.is_empty() && Instant::now() < self.until {
            return;
        }
        for _ in 0..3 {
            let address = *self
                .directories
                .choose(&mut rand::rng())
                .expect("there are daemons");
            let target = Client {
                pool: self.pool.clone(),
                address,
                timeout: ASK,
                token: None,
            };
            let path = "/-/resolve?name=site.example&region=region&zone=zone-a";
            let answer = target.get(path).await.ok();
            let Some(answer) = answer.and_then(|whole| whole.json::<Value>().ok()) else {
                continue;
            };
            let keep = answer["ttl_s"].as_f64().unwrap_or(1.0);
            let named = answer["addresses"].as_array().cloned().unwrap_or_default();
            let named = named.iter().filter_map(|one| one.as_str()?.parse().ok());
            self.known = named.collect();
            self.until = Instant::now() + Duration::from_secs_f64(keep);
            return;
        }
    }

    async fn send(&self, address: SocketAddr, id: String, once: bool) -> Told {
        let (method, path) = if once {
            ("POST", "/order/7")
        } else {
            ("GET", "/lookup/7")
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "site.example")
            .header(REQUEST_ID, &id)
            .header(DEADLINE, WAIT.as_millis() as u64)
            .body(body::full(if once { vec![1; 300] } else { Vec::new() }))
            .expect("a request");
        let at = Instant::now();
        let terms = SendOptions::new(64, true);
        let whole = async {
            let reply = self.pool.send(address, terms, request).await.ok()?;
            let (head, rest) = reply.into_parts();
            let bytes = rest.collect().await.ok()?.to_bytes();
            let whole = is_valid_response(&head.headers, &bytes, &id);
            Some((head.status.as_u16(), whole))
        };
        let answer = tokio::time::timeout(WAIT * 2, whole).await.ok().flatten();
        Told {
            id,
            once,
            at,
            status: answer.map(|(status, _)| status),
            whole: answer.is_some_and(|(_, whole)| whole),
        }
    }
}
