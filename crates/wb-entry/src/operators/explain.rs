//! Explanation of a request: the decisions about it, and the requests served just before and
//! after it.

use std::sync::Arc;

use ractor::call_t;
use serde::Deserialize;
use serde::Serialize;
use wb_record::Batch;
use wb_record::DecisionRecord;
use wb_record::chain;

use crate::Context;
use crate::recorder::RecorderMessage;

/// Longest wait for the recorder, in milliseconds.
const RECORDER_MS: u64 = 1000;
/// Maximum distance, in decisions, of the records shown before and after a decision.
const NEIGHBOURS: u64 = 3;
/// Maximum number of hops that are followed.
const HOPS_MAX: usize = 4;

/// Decisions about a request, from the decision records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Explanation {
    /// Decisions in the order of the hops.
    pub decisions: Vec<ExplainedDecision>,
    /// Records that are missing, unreadable or fail verification.
    pub gaps: Vec<String>,
}

/// A decision and its neighbours.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainedDecision {
    /// Instance that made it.
    pub instance: String,
    /// Record of the decision.
    pub record: DecisionRecord,
    /// Decisions of the same instance for the same service just before.
    pub before: Vec<DecisionRecord>,
    /// Decisions of the same instance for the same service just after.
    pub after: Vec<DecisionRecord>,
}

/// Reads the decisions about a request, following it from instance to instance.
pub(super) async fn read(context: &Arc<Context>, request: &str) -> Explanation {
    let mut explanation = Explanation::default();
    let Some(first) = issuer(request) else {
        explanation.gaps.push("not a request id".to_owned());
        return explanation;
    };
    let mut instance = first.to_owned();
    for _ in 0..HOPS_MAX {
        let records = records(context, &instance, &mut explanation.gaps).await;
        let found = records.iter().filter(|record| &*record.request == request);
        let Some(last) = found.max_by_key(|record| record.order).cloned() else {
            let gap = format!("no record at {instance}");
            explanation.gaps.push(gap);
            return explanation;
        };
        let next = (&*last.verdict == "pass").then(|| last.target.to_string());
        let decision = with_neighbours(&instance, last, &records);
        explanation.decisions.push(decision);
        match next {
            Some(next) => instance = next,
            None => return explanation,
        }
    }
    explanation
}

/// Returns the instance that issued a request id.
fn issuer(request: &str) -> Option<&str> {
    let (rest, _) = request.rsplit_once('-')?;
    let (instance, _) = rest.rsplit_once('-')?;
    Some(instance)
}

fn with_neighbours(
    instance: &str,
    record: DecisionRecord,
    records: &[DecisionRecord],
) -> ExplainedDecision {
    let same = |other: &&DecisionRecord| {
        other.row.service == record.row.service && &*other.verdict == "run"
    };
    let low = record.order.saturating_sub(NEIGHBOURS);
    let high = record.order + NEIGHBOURS;
    let before = records
        .iter()
        .filter(same)
        .filter(|other| other.order < record.order && other.order >= low);
    let after = records
        .iter()
        .filter(same)
        .filter(|other| other.order > record.order && other.order <= high);
    ExplainedDecision {
        instance: instance.to_owned(),
        before: before.cloned().collect(),
        after: after.cloned().collect(),
        record,
    }
}

/// Reads all records of an instance from the object store; for this instance also those that are
/// not stored yet.
async fn records(
    context: &Arc<Context>,
    instance: &str,
    gaps: &mut Vec<String>,
) -> Vec<DecisionRecord> {
    let mut records = Vec::new();
    let prefix = format!("records/{instance}/");
    match context.platform.list_objects(&prefix).await {
        Ok(names) => {
            for texts in by_process(context, names, gaps).await {
                match chain::verify(&texts) {
                    Ok(batches) => append(batches, &mut records, gaps),
                    Err(err) => gaps.push(format!("{instance}: {err}")),
                }
            }
        }
        Err(err) => gaps.push(err.to_string()),
    }
    if instance == &**context.instance_name() {
        let recorder = &context.actors().recorder;
        let unstored = call_t!(recorder, RecorderMessage::Unstored, RECORDER_MS);
        records.extend(unstored.unwrap_or_default());
    }
    records
}

fn append(batches: Vec<Batch>, records: &mut Vec<DecisionRecord>, gaps: &mut Vec<String>) {
    for batch in batches {
        if batch.dropped > 0 {
            gaps.push(format!(
                "{} dropped {} records before batch {}",
                batch.instance, batch.dropped, batch.number
            ));
        }
        records.extend(batch.records);
    }
}

/// Reads batches from the object store, grouped by the process that wrote them.
async fn by_process(
    context: &Arc<Context>,
    names: Vec<String>,
    gaps: &mut Vec<String>,
) -> Vec<Vec<String>> {
    let mut groups: Vec<Vec<String>> = Vec::new();
    let mut last = String::new();
    for name in names {
        let process = name.rsplit_once('/').map_or("", |(process, _)| process);
        if process != last {
            last = process.to_owned();
            groups.push(Vec::new());
        }
        match context.platform.get_object(&name).await {
            Ok(Some(text)) => groups.last_mut().expect("a group was pushed").push(text),
            Ok(None) => gaps.push(format!("{name} is missing")),
            Err(err) => gaps.push(err.to_string()),
        }
    }
    groups
}
