//! Report of an experiment.

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
use super::run::SlotUsage;
use crate::caller::RequestOutcome;

/// Results of one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the policy, `ours` or `naive`.
    pub policy: String,
    /// Figures by name; `NaN` if there is no value, such as the detection time of a fault that was
    /// not detected.
    pub figures: BTreeMap<String, f64>,
    /// Number of requests by load and outcome.
    #[serde(rename = "fates")]
    pub outcomes: BTreeMap<String, BTreeMap<String, usize>>,
}

/// A period of the experiment, in seconds from the start of the load.
struct Phase {
    name: &'static str,
    from: f64,
    to: f64,
}

/// Returns the periods before, during and after the first swing, or the whole time if there is
/// none. The last period starts 2 s after the swing.
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

/// Builds the report of one policy.
#[expect(
    clippy::too_many_arguments,
    reason = "each is a result of its own kind"
)]
pub(super) fn build(
    plan: &Plan,
    policy: &str,
    samples: &[Vec<Sample>],
    busy: &[SlotUsage],
    slots: impl Fn(&str) -> u32,
    stats: &[Stats],
    detections: Vec<Detection>,
    other_ejections: usize,
) -> Report {
    let mut figures = BTreeMap::new();
    let mut outcomes: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
    for (load, samples) in plan.loads.iter().zip(samples) {
        for phase in phases(plan) {
            let within = |sample: &&Sample| sample.due >= phase.from && sample.due < phase.to;
            let part: Vec<&Sample> = samples.iter().filter(within).collect();
            let name = format!("{} {}", load.name, phase.name);
            add_latencies(&name, &part, &mut figures);
        }
        let counts = outcomes.entry(load.name.clone()).or_default();
        for sample in samples {
            *counts.entry(outcome_label(&sample.outcome)).or_default() += 1;
        }
    }
    for phase in phases(plan) {
        let mut services: Vec<&str> = plan.loads.iter().map(|load| &*load.service).collect();
        services.dedup();
        for service in services {
            let share = slot_utilization(busy, service, &phase, slots(service));
            figures.insert(format!("{service} {} slots busy", phase.name), share);
        }
    }
    for detection in detections {
        let name = format!("{} out of rotation s", detection.server);
        let delay = detection
            .delay
            .map_or(f64::NAN, |delay| delay.as_secs_f64());
        figures.insert(name, delay);
        let name = format!("{} ejecting instances", detection.server);
        figures.insert(name, detection.instances as f64);
    }
    figures.insert("other ejections".to_owned(), other_ejections as f64);
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
        outcomes,
    }
}

fn outcome_label(result: &RequestOutcome) -> String {
    match result {
        RequestOutcome::Refused(outcome, reason) => format!("{outcome} {reason}"),
        other => format!("{other:?}").to_lowercase(),
    }
}

/// Adds offered requests, good share and latency quantiles of one load and phase. The quantiles are
/// over good responses to requests that are not long.
fn add_latencies(name: &str, part: &[&Sample], figures: &mut BTreeMap<String, f64>) {
    let good = part
        .iter()
        .filter(|sample| sample.outcome == RequestOutcome::Good);
    let mut short: Vec<Duration> = good
        .clone()
        .filter(|sample| !sample.long)
        .map(|sample| sample.latency)
        .collect();
    short.sort();
    let share = good.count() as f64 / part.len().max(1) as f64;
    figures.insert(format!("{name} offered"), part.len() as f64);
    figures.insert(format!("{name} good share"), share);
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let index = ((short.len() as f64 * quantile) as usize).min(short.len().saturating_sub(1));
        let latency = short
            .get(index)
            .map_or(f64::NAN, |latency| latency.as_secs_f64() * 1e3);
        figures.insert(format!("{name} {label} ms"), latency);
    }
}

/// Returns the fraction of a service's slots that were busy in a phase.
fn slot_utilization(busy: &[SlotUsage], service: &str, phase: &Phase, slots: u32) -> f64 {
    let mut by_time: BTreeMap<u64, f64> = BTreeMap::new();
    for usage in busy {
        let within = usage.at >= phase.from && usage.at <= phase.to;
        if usage.service == service && within {
            *by_time.entry((usage.at * 1e6) as u64).or_default() += usage.busy_s;
        }
    }
    let (Some(first), Some(last)) = (by_time.first_key_value(), by_time.last_key_value()) else {
        return f64::NAN;
    };
    let time = (last.0 - first.0) as f64 / 1e6;
    (last.1 - first.1) / (time * f64::from(slots))
}

/// Formats the reports as a table with a column for each policy, followed by the outcome counts.
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
        for (load, outcomes) in &report.outcomes {
            text.push_str(&format!("\n{} {load}: {outcomes:?}", report.policy));
        }
    }
    text
}
