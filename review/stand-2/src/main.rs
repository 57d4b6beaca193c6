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

use record::Record;

/// Whether the run is one with the disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").ok().as_deref() != Some("0")
}

#[tokio::main]
async fn main() -> ExitCode {
    let record = Record::default();
    let case = std::env::args().nth(1).unwrap_or_default();
    let result = match case.as_str() {
        "chunks" => chunks::run(&record, has_trouble()).await,
        "freeze" => freeze::run(&record, has_trouble()).await,
        "removal" => removal::run(&record, has_trouble()).await,
        other => Err(eyre::eyre!("unknown case {other:?}")),
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
