//! Ejections in the logs of the instances.

use std::collections::HashMap;
use std::time::Duration;
use std::time::SystemTime;

use super::faults::InjectedFault;
use super::plan::FaultKind;
use crate::fleet::Fleet;

/// Detection of a faulty server.
#[derive(Clone, Debug)]
pub(super) struct Detection {
    /// The server, as `service/server`.
    pub(super) server: String,
    /// Time from the fault to the last ejection; `None` if not all instances that send to the
    /// server ejected it. With the naive policy all instances send to it, otherwise only its owner.
    pub(super) delay: Option<Duration>,
    /// Number of instances that ejected it.
    pub(super) instances: usize,
}

/// An ejection in the log of an instance; `at` is the time since the Unix epoch.
struct Ejection {
    server: String,
    at: Duration,
}

/// Returns the detections of faulty servers and the number of ejections of other servers.
pub(super) fn detections(
    fleet: &Fleet,
    injected: &[InjectedFault],
    naive: bool,
) -> eyre::Result<(Vec<Detection>, usize)> {
    let mut first_ejections: HashMap<(usize, String), Duration> = HashMap::new();
    let mut other_ejections = 0;
    let is_faulty = |server: &str| {
        let mut injected = injected.iter();
        injected.any(|injected| matches_target(&injected.fault.server, server))
    };
    for index in 0..fleet.size() {
        for ejection in ejections(&fleet.read_log(index)?) {
            other_ejections += usize::from(!is_faulty(&ejection.server));
            let key = (index, ejection.server);
            first_ejections.entry(key).or_insert(ejection.at);
        }
    }
    let mut detections = Vec::new();
    for fault in injected {
        if fault.fault.kind != FaultKind::Server {
            continue;
        }
        let injected_at = fault.at.duration_since(SystemTime::UNIX_EPOCH)?;
        let server = fault.fault.server.clone();
        let times: Vec<Duration> = first_ejections
            .iter()
            .filter(|((_, name), at)| *name == server && **at >= injected_at)
            .map(|(_, at)| *at - injected_at)
            .collect();
        let required = if naive { fleet.size() } else { 1 };
        detections.push(Detection {
            server,
            instances: times.len(),
            delay: times
                .iter()
                .max()
                .copied()
                .filter(|_| times.len() >= required),
        });
    }
    Ok((detections, other_ejections))
}

/// Returns whether a fault targets a server, by its name or by `service/*`.
fn matches_target(fault: &str, server: &str) -> bool {
    match fault.strip_suffix('*') {
        Some(service) => server.starts_with(service),
        None => fault == server,
    }
}

fn ejections(log: &str) -> Vec<Ejection> {
    let lines = log.lines().filter(|line| line.contains(" E301 "));
    lines.filter_map(ejection).collect()
}

fn ejection(line: &str) -> Option<Ejection> {
    if log_field(line, "to")? != "ejected" {
        return None;
    }
    let server = format!(
        "{}/{}",
        log_field(line, "service")?,
        log_field(line, "server")?
    );
    Some(Ejection {
        server,
        at: parse_timestamp(line)?,
    })
}

fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Parses the time of a log line as time since the Unix epoch: `[2026-12-04T04:21:58.123456Z ...`.
fn parse_timestamp(line: &str) -> Option<Duration> {
    let stamp = line.strip_prefix('[')?.split('Z').next()?;
    let (date, clock) = stamp.split_once('T')?;
    let mut date = date.split('-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let mut clock = clock.split(':');
    let hours: f64 = clock.next()?.parse().ok()?;
    let minutes: f64 = clock.next()?.parse().ok()?;
    let seconds: f64 = clock.next()?.parse().ok()?;
    let days = days_since_epoch(year, month, day);
    Some(Duration::from_secs_f64(
        days as f64 * 86_400.0 + hours * 3600.0 + minutes * 60.0 + seconds,
    ))
}

/// Returns the days from the Unix epoch to a date of the Gregorian calendar.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let shifted_year = if month <= 2 { year - 1 } else { year };
    let era = shifted_year.div_euclid(400);
    let year_of_era = shifted_year - era * 400;
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year - 719_468
}
