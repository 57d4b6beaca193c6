//! A server starts while the clock of its machine is ahead, crashes, and starts again under its id when the
//! clock is right. Later it leaves.

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_stand::server::Server;
use review_stand::trial;
use review_stand::trial::Ended;
use review_stand::trial::Route;
use review_stand::trial::Trial;
use review_stand::trial::Verdict;

/// Time by which the clock of the server's machine is ahead at its first start.
const CLOCK_STEP: Duration = Duration::from_millis(2000);
/// Time from the first start to the crash.
const UP_TIME: Duration = Duration::from_millis(700);
/// Time from the crash to the second start.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time from the second start until the server leaves.
const SERVE_TIME: Duration = Duration::from_millis(6000);
/// `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time from the acknowledgement that the server is draining to the requests.
const SEND_DELAY: Duration = Duration::from_millis(4000);
/// Requests to each daemon at the same time.
const REQUESTS: usize = 4;

const PATH: &str = "/orders/7";
const LEAVER: &str = "i-again";

/// Sends requests to all daemons at the same time.
fn send_all(trial: &Trial) -> Vec<Ended> {
    thread::scope(|scope| {
        let daemons = trial.daemons.iter();
        let senders: Vec<_> = daemons
            .flat_map(|daemon| std::iter::repeat_n(daemon, REQUESTS))
            .map(|daemon| {
                scope.spawn(move || trial.send(daemon, "POST", PATH, Duration::from_secs(2)))
            })
            .collect();
        let ended = senders.into_iter().filter_map(|sender| sender.join().ok());
        ended.collect()
    })
}

fn run() -> io::Result<ExitCode> {
    let mut trial = Trial::new()?;
    let orders = Route {
        prefix: "/orders/",
        kind: "unsafe",
        service: "registry",
    };
    trial.configure(1, &[orders]);
    for id in ["i-stays1", "i-stays2"] {
        trial.add_server(id, "registry")?;
    }
    if !trial.start_daemons(3)? {
        return Ok(trial.end(Verdict::NotRun, "the daemons did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let address = trial.address(240, 99);
    let (runs, record) = (trial.runs.clone(), trial.record.clone());
    let first = Server::start(LEAVER, "registry", address, runs.clone(), record.clone())?;
    let ahead = if trial::has_trouble() {
        CLOCK_STEP
    } else {
        Duration::ZERO
    };
    trial.write_row(&first, "ready", trial::unix_ms() + ahead.as_millis() as u64);
    thread::sleep(UP_TIME);
    first.crash();
    thread::sleep(DOWN_TIME);
    let again = Server::start(LEAVER, "registry", first.address, runs, record)?;
    let born = trial::unix_ms();
    let up = trial.record.now();
    while trial.record.now() < up + SERVE_TIME {
        trial.write_row(&again, "ready", born);
        send_all(&trial);
        thread::sleep(trial::HEARTBEAT);
    }
    again.manner().leaving = true;
    trial.write_row(&again, "draining", born);
    let acknowledged = trial.record.now();
    thread::sleep(SEND_DELAY);
    let ended = send_all(&trial);
    let late: Vec<Duration> = ended
        .iter()
        .flat_map(|one| trial.runs.of(&one.id))
        .filter(|run| run.server == LEAVER && run.began > acknowledged + DRAIN_TIME)
        .map(|run| run.began - acknowledged)
        .collect();
    let what = format!(
        "{} of {} requests reached {LEAVER} later than {} ms after it was acknowledged as draining, at most {} ms",
        late.len(),
        ended.len(),
        DRAIN_TIME.as_millis(),
        late.iter().max().unwrap_or(&Duration::ZERO).as_millis()
    );
    let verdict = if !ended.iter().any(|one| one.status == 200) {
        Verdict::NotRun
    } else if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    };
    Ok(trial.end(verdict, &what))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|err| {
        println!("not run: {err}");
        ExitCode::from(2)
    })
}
