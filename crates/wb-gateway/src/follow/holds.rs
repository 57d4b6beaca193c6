//! Requests that are held, as the platform keeps them for the case that all instances end.

use std::sync::Arc;
use std::time::Duration;

use wb_quarantine::Change;
use wb_types::id::RequestKey;

use super::Backoff;
use super::CallMonitor;
use super::log_errors;
use crate::Context;
use crate::peers::quarantine;

/// Interval at which an instance checks whether it has become a home, which reads the rows. Others are
/// told by the homes.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Most attempts to write or remove a row.
const ATTEMPTS_MAX: usize = 8;

/// Reads the rows once this instance has become a home, and tells the others.
pub async fn run(context: Arc<Context>) {
    let mut monitor = CallMonitor::new("holds");
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !is_settled(&context) {
            continue;
        }
        let holds = context.catalog.holds().await;
        monitor.record(&context, &holds);
        let Ok(holds) = holds else {
            continue;
        };
        log_errors(&holds.errors);
        let now = context.now();
        let mut state = context.state();
        for report in &holds.reports {
            if let Some(change) = state.quarantine.merge(report, now) {
                quarantine::log_change(&change, None, None);
                quarantine::tell(&context, &state, report.key);
            }
        }
        return;
    }
}

/// Whether this instance is a home among others that it knows, or alone.
fn is_settled(context: &Context) -> bool {
    let state = context.state();
    state.steering.is_home() && state.routes.is_some() && state.listing.read_version().is_some()
}

/// Writes or removes the row of a request after evidence of this instance has changed whether it is
/// held.
pub fn update(context: &Arc<Context>, change: &Change) {
    if change.after.is_held() {
        tokio::spawn(write(context.clone(), change.key));
    } else if change.before.is_held() {
        tokio::spawn(remove(context.clone(), change.key));
    }
}

async fn write(context: Arc<Context>, key: RequestKey) {
    let mut monitor = CallMonitor::new("write_hold");
    let mut backoff = Backoff::new();
    for _ in 0..ATTEMPTS_MAX {
        let report = context.state().quarantine.report(key, context.now());
        let Some(report) = report else {
            return;
        };
        let result = context.catalog.write_hold(&report).await;
        monitor.record(&context, &result);
        if result.is_ok() {
            return;
        }
        backoff.wait().await;
    }
}

async fn remove(context: Arc<Context>, key: RequestKey) {
    let mut monitor = CallMonitor::new("remove_hold");
    let mut backoff = Backoff::new();
    for _ in 0..ATTEMPTS_MAX {
        let result = context.catalog.remove_hold(key).await;
        monitor.record(&context, &result);
        if result.is_ok() {
            return;
        }
        backoff.wait().await;
    }
}
