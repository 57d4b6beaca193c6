//! The last machine is cut off from the store for a few seconds. A second after that a server leaves whose
//! row is removed without a report of its own.

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_stand::relay::Relay;
use review_stand::trial;
use review_stand::trial::Ended;
use review_stand::trial::Route;
use review_stand::trial::Trial;
use review_stand::trial::Verdict;

/// `stable_window_ms` of the settings: the machine is in touch again so long after the end of the cut.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time for which the machine is cut off from the store.
const CUT_TIME: Duration = Duration::from_millis(4000);
/// Time from the end of the cut to the removal of the row.
const REMOVAL_DELAY: Duration = Duration::from_millis(1000);
/// Time from the end of the cut to the first of the requests that count.
const SEND_DELAY: Duration = Duration::from_millis(3050);
/// Number of these requests, and the time between two of them.
const REQUESTS: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(30);
/// Time that a request takes, as an order does by the sheet.
const WORK_TIME: Duration = Duration::from_millis(390);

const PATH: &str = "/orders/7";
const LEAVER: &str = "i-leaver";

fn sleep_until(trial: &Trial, at: Duration) {
    thread::sleep(at.saturating_sub(trial.record.now()));
}

/// Sends requests to the daemon at even intervals.
fn send_all(trial: &Trial) -> Vec<Ended> {
    let daemon = &trial.daemons[0];
    let begun = trial.record.now();
    thread::scope(|scope| {
        let senders: Vec<_> = (0..REQUESTS)
            .map(|index| {
                sleep_until(trial, begun + INTERVAL * index);
                scope.spawn(|| trial.send(daemon, "POST", PATH, Duration::from_secs(2)))
            })
            .collect();
        let ended = senders.into_iter().filter_map(|sender| sender.join().ok());
        ended.collect()
    })
}

fn run() -> io::Result<ExitCode> {
    let mut trial = Trial::new()?;
    let relay = Relay::start(trial.address(250, 3), trial.store_address)?;
    trial.store_address = relay.address;
    let orders = Route {
        prefix: "/orders/",
        kind: "unsafe",
        service: "registry",
    };
    trial.configure(1, &[orders]);
    for id in ["i-stays1", "i-stays2"] {
        trial.add_server(id, "registry")?.manner().work = WORK_TIME;
    }
    let leaver = trial.add_server(LEAVER, "registry")?;
    leaver.manner().work = WORK_TIME;
    if !trial.start_daemons(1)? {
        return Ok(trial.end(Verdict::NotRun, "the daemon did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));
    send_all(&trial);
    if trial::has_trouble() {
        relay.set_cut(true);
        trial.record.line("the machine is cut off from the store");
    }
    thread::sleep(CUT_TIME);
    if trial::has_trouble() {
        relay.set_cut(false);
        trial.record.line("the machine reaches the store again");
    }
    let begun = trial.record.now();
    sleep_until(&trial, begun + REMOVAL_DELAY);
    leaver.manner().leaving = true;
    trial.store.remove("servers", LEAVER);
    let removed = trial.record.now();
    trial.record.line(&format!(
        "store acknowledges the removal of the row of {LEAVER}"
    ));
    sleep_until(&trial, begun + SEND_DELAY);
    let ended = send_all(&trial);
    let in_touch = ended
        .iter()
        .filter(|one| one.sent >= begun + STABLE_WINDOW && one.sent > removed + DRAIN_TIME);
    let late: Vec<Duration> = in_touch
        .flat_map(|one| trial.runs.of(&one.id))
        .filter(|run| run.server == LEAVER && run.began > removed + DRAIN_TIME)
        .map(|run| run.began - removed)
        .collect();
    let what = format!(
        "{} of {} requests reached {LEAVER} later than {} ms after the removal of its row, at most {} ms",
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
