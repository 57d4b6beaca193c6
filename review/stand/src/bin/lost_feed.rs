//! The store loses its responses about one table for a few seconds, in which the configuration changes.
//! After that it is in order, and the configuration changes once more.

use std::io;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_stand::trial;
use review_stand::trial::Ended;
use review_stand::trial::Route;
use review_stand::trial::Trial;
use review_stand::trial::Verdict;

/// Time for which responses are lost.
const LOSS_TIME: Duration = Duration::from_millis(4500);
/// `stable_window_ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// `config_apply_ms` of the settings.
const APPLY_TIME: Duration = Duration::from_millis(2000);
/// Time from the end of the loss to the second change: the store is stable then.
const CALM_TIME: Duration = Duration::from_millis(3500);
/// Time for which requests are sent after the second change.
const SEND_TIME: Duration = Duration::from_secs(20);
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Route that both changes move to another service and back.
const MOVED: &str = "/orders/";
/// Route that the second change adds.
const ADDED: &str = "/added/";

fn route(prefix: &'static str, service: &'static str) -> Route {
    Route {
        prefix,
        kind: "unsafe",
        service,
    }
}

/// Sends a request on each route to each daemon, for some time.
fn send_rounds(trial: &Trial, until: Duration, ended: &mut Vec<(&'static str, Ended)>) {
    while trial.record.now() < until {
        for daemon in &trial.daemons {
            for prefix in [MOVED, ADDED] {
                let path = format!("{prefix}7");
                let one = trial.send(daemon, "POST", &path, Duration::from_secs(2));
                ended.push((prefix, one));
            }
        }
        thread::sleep(ROUND_PAUSE);
    }
}

fn run() -> io::Result<ExitCode> {
    let mut trial = Trial::new()?;
    trial.configure(1, &[route(MOVED, "registry")]);
    for (id, service) in [
        ("i-reg1", "registry"),
        ("i-reg2", "registry"),
        ("i-pat1", "patterns"),
        ("i-pat2", "patterns"),
    ] {
        trial.add_server(id, service)?;
    }
    if !trial.start_daemons(3)? {
        return Ok(trial.end(Verdict::NotRun, "the daemons did not become ready"));
    }
    // The daemons have found each other and wait for changes of the configuration.
    thread::sleep(Duration::from_secs(4));
    let mut ended = Vec::new();
    if trial::has_trouble() {
        trial
            .record
            .line("the store loses its responses about table op");
        trial.store.set_lossy(Some("op"));
    }
    let begun = trial.record.now();
    trial.configure(2, &[route(MOVED, "patterns")]);
    send_rounds(&trial, begun + LOSS_TIME, &mut ended);
    trial.store.set_lossy(None);
    trial.record.line("the store loses no responses any more");
    let calm = trial.record.now();
    send_rounds(&trial, calm + CALM_TIME, &mut ended);
    // The store has been in order for longer than `stable_window_ms`.
    trial.configure(3, &[route(MOVED, "patterns"), route(ADDED, "patterns")]);
    let acknowledged = trial.record.now();
    send_rounds(&trial, acknowledged + SEND_TIME, &mut ended);

    let due = acknowledged + APPLY_TIME;
    let mut all = 0;
    let mut served = 0;
    let mut moved = 0;
    let mut missing = 0;
    let mut last = due;
    for (prefix, one) in ended.iter().filter(|(_, one)| one.sent > due) {
        all += 1;
        served += u32::from(one.status == 200);
        let by_old = one.servers.iter().any(|server| server.starts_with("i-reg"));
        let unknown = *prefix == ADDED && one.status == 404;
        moved += u32::from(by_old);
        missing += u32::from(unknown);
        if by_old || unknown {
            last = one.sent;
        }
    }
    let (answered, lost) = trial.store.losses();
    let what = format!(
        "store lost {lost} of {answered} responses until {} ms before version 3 was acknowledged; of {all} \
         requests sent more than {} ms after that, {moved} were run by the service of version 1 and {missing} \
         on the added route got 404, the last one sent {} ms after it",
        (acknowledged - calm).as_millis(),
        APPLY_TIME.as_millis(),
        (last - acknowledged).as_millis(),
    );
    if acknowledged - calm < STABLE_WINDOW || served == 0 {
        return Ok(trial.end(Verdict::NotRun, &what));
    }
    let verdict = if moved + missing > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    };
    Ok(trial.end(verdict, &what))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|err| {
        println!("not run: {err}");
        ExitCode::from(2)
    })
}
