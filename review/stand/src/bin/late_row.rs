//! A server crashes and starts again under its id; the row that it writes then is applied seconds later, and
//! its response is lost. Meanwhile the server leaves and says so in its responses.

use std::collections::HashMap;
use std::io;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use review_stand::server::Server;
use review_stand::trial;
use review_stand::trial::Route;
use review_stand::trial::Trial;
use review_stand::trial::Verdict;

/// Time from the crash to the second start.
const DOWN_TIME: Duration = Duration::from_millis(1000);
/// Time from the second start until the server leaves.
const STAY_TIME: Duration = Duration::from_millis(1000);
/// Time from the second start until the row that is written then is applied.
const ROW_DELAY: Duration = Duration::from_millis(3500);
/// Time for which requests are sent after that.
const SEND_TIME: Duration = Duration::from_millis(2500);
/// Time from the first response that says that the server leaves until its row is removed.
const REMOVAL_DELAY: Duration = Duration::from_millis(200);
/// `drain_ms` of the settings.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Callers of each daemon, each with one request at a time.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(100);
/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(100);

const PATH: &str = "/lookups/7";
const LEAVER: &str = "i-again";

/// An answer of the server that leaves, as a caller got it.
struct Answer {
    daemon: usize,
    sent: Duration,
    got: Duration,
    says_leaving: bool,
}

/// Sends requests to a daemon until the end, and keeps the answers of the server that leaves.
fn call(trial: &Trial, daemon: usize, ended: &AtomicBool, answers: &Mutex<Vec<Answer>>) {
    while !ended.load(Ordering::SeqCst) {
        let one = trial.send(&trial.daemons[daemon], "GET", PATH, Duration::from_secs(2));
        if one.signer == LEAVER {
            let answer = Answer {
                daemon,
                sent: one.sent,
                got: trial.record.now(),
                says_leaving: one.says_leaving,
            };
            answers.lock().expect("lock is not poisoned").push(answer);
        }
        thread::sleep(CALLER_PAUSE);
    }
}

/// Lets the server crash, start again, leave, and its row come late.
fn play(trial: &Trial, first: &Server) -> io::Result<()> {
    thread::sleep(Duration::from_secs(2));
    if !trial::has_trouble() {
        first.manner().leaving = true;
        thread::sleep(REMOVAL_DELAY);
        trial.remove_row(first);
        thread::sleep(SEND_TIME + ROW_DELAY);
        return Ok(());
    }
    first.crash();
    thread::sleep(DOWN_TIME);
    let (runs, record) = (trial.runs.clone(), trial.record.clone());
    let again = Server::start(LEAVER, &first.service, first.address, runs, record)?;
    again.manner().work = WORK_TIME;
    let born = trial::unix_ms();
    let up = trial.record.now();
    trial.record.line(&format!(
        "{LEAVER} starts again and writes its row: no response"
    ));
    thread::sleep(STAY_TIME);
    again.manner().leaving = true;
    trial.record.line(&format!("{LEAVER} leaves"));
    thread::sleep(REMOVAL_DELAY);
    trial.remove_row(&again);
    thread::sleep((up + ROW_DELAY).saturating_sub(trial.record.now()));
    trial.write_row(&again, "ready", born);
    thread::sleep(SEND_TIME);
    Ok(())
}

fn run() -> io::Result<ExitCode> {
    let mut trial = Trial::new()?;
    let lookups = Route {
        prefix: "/lookups/",
        kind: "safe",
        service: "registry",
    };
    trial.configure(1, &[lookups]);
    for id in ["i-stays1", "i-stays2"] {
        trial.add_server(id, "registry")?.manner().work = WORK_TIME;
    }
    let first = trial.add_server(LEAVER, "registry")?;
    first.manner().work = WORK_TIME;
    if !trial.start_daemons(3)? {
        return Ok(trial.end(Verdict::NotRun, "the daemons did not become ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let ended = AtomicBool::new(false);
    let answers = Mutex::default();
    let played = thread::scope(|scope| {
        for daemon in (0..trial.daemons.len()).flat_map(|one| [one; CALLERS]) {
            let (trial, ended, answers) = (&trial, &ended, &answers);
            scope.spawn(move || call(trial, daemon, ended, answers));
        }
        let played = play(&trial, &first);
        ended.store(true, Ordering::SeqCst);
        played
    });
    played?;
    let answers = answers.into_inner().expect("lock is not poisoned");
    let mut said: HashMap<usize, Duration> = HashMap::new();
    for answer in answers.iter().filter(|answer| answer.says_leaving) {
        let at = said.entry(answer.daemon).or_insert(answer.got);
        *at = answer.got.min(*at);
    }
    let late: Vec<Duration> = answers
        .iter()
        .filter_map(|answer| {
            let said = said.get(&answer.daemon)?;
            (answer.sent > *said + DRAIN_TIME).then(|| answer.sent - *said)
        })
        .collect();
    let what = format!(
        "{} machines passed on that {LEAVER} leaves; {} requests sent to them later than {} ms after that reached \
         it, the last one {} ms after it",
        said.len(),
        late.len(),
        DRAIN_TIME.as_millis(),
        late.iter().max().unwrap_or(&Duration::ZERO).as_millis()
    );
    let verdict = match (said.is_empty(), late.is_empty()) {
        (true, _) => Verdict::NotRun,
        (_, true) => Verdict::Held,
        (_, false) => Verdict::Broken,
    };
    Ok(trial.end(verdict, &what))
}

fn main() -> ExitCode {
    run().unwrap_or_else(|err| {
        println!("not run: {err}");
        ExitCode::from(2)
    })
}
