//! Cases of the second review: starts daemons, servers, a store and clients, and judges one rule.

mod bed;
mod chunks;
mod client;
mod freeze;
mod proxy;
mod record;
mod removal;
mod server;

use std::process::ExitCode;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use record::Record;

/// Whether the run is one with the disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").ok().as_deref() != Some("0")
}

async fn run(case: &str, record: &Record) -> eyre::Result<bool> {
    match case {
        "chunks" => chunks::run(record, has_trouble()).await,
        "freeze" => freeze::run(record, has_trouble()).await,
        "removal" => removal::run(record, has_trouble()).await,
        other => Err(eyre::eyre!("unknown case {other:?}")),
    }
}

/// Waits for the signal to end.
async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            terminate.recv().await;
        }
        Err(_) => std::future::pending().await,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let record = Record::default();
    let case = std::env::args().nth(1).unwrap_or_default();
    // What is dropped when the run is ended from outside ends its processes, too.
    let result = tokio::select! {
        result = run(&case, &record) => result,
        () = terminated() => Err(eyre::eyre!("ended from outside")),
    };
    let written = record.write();
    match result.and_then(|broken| written.map(|()| broken)) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err:#}");
            ExitCode::from(2)
        }
    }
}
