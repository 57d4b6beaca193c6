//! Results of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;
use wb_stand::backend::Stats;

use super::load::Sample;
use super::logs::Detection;
use super::plan::Plan;
use super::run::Busy;
use crate::caller::Fate;

/// Results of one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// Named figures; `NaN` stands for what did not happen.
    pub figures: BTreeMap<String, f64>,
    /// What became of the requests, by load.
    pub fates: BTreeMap<String, BTreeMap<String, usize>>,
}

/// A part of the time line.
struct Phase {
    name: &'static str,
    from: f64,
    to: f64,
}

/// Before, during and after the first swing; or the whole time.
fn phases(plan: &Plan) -> Vec<Phase> {
    let phase = |name, from, to| Phase { name, from, to };
    match plan.swings.first() {
        Some(swing) => vec![
            phase("before", 0.0, swing.from),
            phase("crest", swing.from, swing.to),
            phase("after2s", swing.to + 2.0, plan.seconds),
        ],
        None => vec![phase("whole", 0.0, plan.seconds)],
    }
}

/// Makes the report.
#[expect(
    clippy::too_many_arguments,
    reason = "each is a result of its own kind"
)]
pub(super) fn make(
    plan: &Plan,
    policy: &str,
    samples: &[Vec<Sample>],
    busy: &[Busy],
    slots: impl Fn(&str) -> u32,
    stats: &[Stats],
    detections: Vec<Detection>,
    wrong: usize,
) -> Report {
    let mut figures = BTreeMap::new();
    let mut fates: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for (load, samples) in plan.loads.iter().zip(samples) {
        for phase in phases(plan) {
            let within = |sample: &&Sample| sample.due >= phase.from && sample.due < phase.to;
            let part: Vec<&Sample> = samples.iter().filter(within).collect();
            let name = format!("{} {}", load.name, phase.name);
            latencies(&name, &part, &mut figures);
        }
        let counts = fates.entry(load.name.clone()).or_default();
        for sample in samples {
            *counts.entry(fate_name(&sample.fate)).or_default() += 1;
        }
    }
    for phase in phases(plan) {
        let mut services: Vec<&str> = plan.loads.iter().map(|load| &*load.service).collect();
        services.dedup();
        for service in services {
            let share = busy_share(busy, service, &phase, slots(service));
            figures.insert(format!("{service} {} slots busy", phase.name), share);
        }
    }
    for detection in detections {
        let name = format!("{} out of rotation s", detection.server);
        let after = detection
            .after
            .map_or(f64::NAN, |after| after.as_secs_f64());
        figures.insert(name, after);
        let name = format!("{} ejecting instances", detection.server);
        figures.insert(name, detection.instances as f64);
    }
    figures.insert("other ejections".to_owned(), wrong as f64);
    let requests: u64 = stats.iter().map(|stats| stats.requests).sum();
    let offered: usize = samples.iter().map(Vec::len).sum();
    figures.insert(
        "backend requests per request".to_owned(),
        requests as f64 / offered as f64,
    );
    let shed: u64 = stats.iter().map(|stats| stats.shed).sum();
    figures.insert("shed by servers".to_owned(), shed as f64);
    Report {
        policy: policy.to_owned(),
        figures,
        fates,
    }
}

fn fate_name(fate: &Fate) -> String {
    match fate {
        Fate::Refused(outcome, reason) => format!("{outcome} {reason}"),
        other => format!("{other:?}").to_lowercase(),
    }
}

fn latencies(name: &str, part: &[&Sample], figures: &mut BTreeMap<String, f64>) {
    let good = part.iter().filter(|sample| sample.fate == Fate::Good);
    let mut short: Vec<Duration> = good
        .clone()
        .filter(|sample| !sample.long)
        .map(|sample| sample.took)
        .collect();
    short.sort();
    let share = good.count() as f64 / part.len().max(1) as f64;
    figures.insert(format!("{name} offered"), part.len() as f64);
    figures.insert(format!("{name} good share"), share);
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let index = ((short.len() as f64 * quantile) as usize).min(short.len().saturating_sub(1));
        let took = short
            .get(index)
            .map_or(f64::NAN, |took| took.as_secs_f64() * 1e3);
        figures.insert(format!("{name} {label} ms"), took);
    }
}

/// Share of a service's slots that were busy in a phase.
fn busy_share(busy: &[Busy], service: &str, phase: &Phase, slots: u32) -> f64 {
    let mut by_time: BTreeMap<u64, f64> = BTreeMap::new();
    for look in busy {
        let within = look.at >= phase.from && look.at <= phase.to;
        if look.service == service && within {
            *by_time.entry((look.at * 1e6) as u64).or_default() += look.used;
        }
    }
    let (Some(first), Some(last)) = (by_time.first_key_value(), by_time.last_key_value()) else {
        return f64::NAN;
    };
    let time = (last.0 - first.0) as f64 / 1e6;
    (last.1 - first.1) / (time * f64::from(slots))
}

/// The reports side by side, aligned.
pub fn compare(reports: &[Report]) -> String {
    let mut builder = Builder::default();
    let header = reports.iter().map(|report| report.policy.clone());
    builder.push_record(["figure".to_owned()].into_iter().chain(header));
    let Some(first) = reports.first() else {
        return String::new();
    };
    for name in first.figures.keys() {
        let cells = reports.iter().map(|report| {
            let figure = report.figures.get(name).copied().unwrap_or(f64::NAN);
            format!("{figure:.3}")
        });
        builder.push_record([name.clone()].into_iter().chain(cells));
    }
    let mut text = builder.build().with(Style::sharp()).to_string();
    for report in reports {
        for (load, fates) in &report.fates {
            text.push_str(&format!("\n{} {load}: {fates:?}", report.policy));
        }
    }
    text
}
