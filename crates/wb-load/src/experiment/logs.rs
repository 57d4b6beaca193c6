//! What the fleet's logs say of an experiment.

use std::collections::HashMap;
use std::time::Duration;
use std::time::SystemTime;

use super::faults::Happened;
use super::plan::Act;
use crate::fleet::Fleet;

/// When a faulty server was out of rotation.
#[derive(Clone, Debug)]
pub(super) struct Detection {
    /// The server.
    pub(super) server: String,
    /// Time from the fault until every instance that sends to it had it out of rotation.
    pub(super) after: Option<Duration>,
    /// Instances that ejected it.
    pub(super) instances: usize,
}

/// An ejection in a log.
struct Ejection {
    server: String,
    at: Duration,
}

/// Detections of the servers that faults made sick, and ejections of others.
pub(super) fn detections(
    fleet: &Fleet,
    happened: &[Happened],
    naive: bool,
) -> eyre::Result<(Vec<Detection>, usize)> {
    let mut first: HashMap<(usize, String), Duration> = HashMap::new();
    let mut wrong = 0;
    let sick = |server: &str| {
        let mut happened = happened.iter();
        happened.any(|happened| covers(&happened.fault.server, server))
    };
    for index in 0..fleet.size() {
        for ejection in ejections(&fleet.log(index)?) {
            wrong += usize::from(!sick(&ejection.server));
            let key = (index, ejection.server);
            first.entry(key).or_insert(ejection.at);
        }
    }
    let mut detections = Vec::new();
    for fault in happened {
        if fault.fault.act != Act::Server {
            continue;
        }
        let since = fault.at.duration_since(SystemTime::UNIX_EPOCH)?;
        let server = fault.fault.server.clone();
        let times: Vec<Duration> = first
            .iter()
            .filter(|((_, name), at)| *name == server && **at >= since)
            .map(|(_, at)| *at - since)
            .collect();
        let needed = if naive { fleet.size() } else { 1 };
        detections.push(Detection {
            server,
            instances: times.len(),
            after: times
                .iter()
                .max()
                .copied()
                .filter(|_| times.len() >= needed),
        });
    }
    Ok((detections, wrong))
}

/// Whether a fault's name means a server: the same, or all of its service.
fn covers(fault: &str, server: &str) -> bool {
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
    if field(line, "to")? != "ejected" {
        return None;
    }
    let server = format!("{}/{}", field(line, "service")?, field(line, "server")?);
    Some(Ejection {
        server,
        at: time(line)?,
    })
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut words = line.split(' ');
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

/// Time of a log line, since the Unix epoch: `[2026-12-04T04:21:58.123456Z ...`.
fn time(line: &str) -> Option<Duration> {
    let stamp = line.strip_prefix('[')?.split('Z').next()?;
    let (date, clock) = stamp.split_once('T')?;
    let mut date = date.split('-').map(str::parse::<i64>);
    let (year, month, day) = (date.next()?.ok()?, date.next()?.ok()?, date.next()?.ok()?);
    let mut clock = clock.split(':');
    let hours: f64 = clock.next()?.parse().ok()?;
    let minutes: f64 = clock.next()?.parse().ok()?;
    let seconds: f64 = clock.next()?.parse().ok()?;
    let days = days(year, month, day);
    Some(Duration::from_secs_f64(
        days as f64 * 86_400.0 + hours * 3600.0 + minutes * 60.0 + seconds,
    ))
}

/// Days from the Unix epoch to a date.
fn days(year: i64, month: i64, day: i64) -> i64 {
    let shifted = if month <= 2 { year - 1 } else { year };
    let era = shifted.div_euclid(400);
    let of_era = shifted - era * 400;
    let of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + of_era * 365 + of_era / 4 - of_era / 100 + of_year - 719_468
}
