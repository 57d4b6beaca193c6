//! Starts a small fleet, sends some requests and prints what they did.

use std::time::Duration;

use bytes::Bytes;
use wb_ctl::show;

use crate::caller::Ask;
use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::fleet::OPERATORS_TOKEN;

/// Runs the demonstration on a running fleet.
///
/// # Errors
///
/// When the fleet does not answer.
pub async fn run(fleet: &Fleet, serve: bool) -> eyre::Result<()> {
    let entries = fleet.callers();
    println!("{} entry processes are ready:", entries.len());
    for (index, instance) in fleet.roster.instances.iter().enumerate() {
        println!(
            "  {} domain {} callers {} operators {}",
            instance.name,
            instance.domain,
            instance.callers,
            fleet.deployment.operators(index)
        );
    }
    println!("\n{}", show::table(&fleet.operator(0).table().await?));
    for service in &fleet.deployment.services {
        let key = key_for(&fleet.deployment.name);
        let caller = Caller::new(key, entries.clone());
        requests(&caller, &service.name).await;
    }
    println!("\n{}", show::status(&fleet.operator(0).status().await?));
    println!("\noperators' token: {OPERATORS_TOKEN} (set WISTERIA_TOKEN for `wisteria`)");
    if serve {
        println!("serving until this program is stopped");
        loop {
            tokio::time::sleep(Duration::from_secs(3600)).await;
        }
    }
    Ok(())
}

/// A caller's key that may use every service of an example.
fn key_for(deployment: &str) -> &'static str {
    match deployment {
        "association" => "key-of-all-services",
        _ => "key-of-touring-house",
    }
}

async fn requests(caller: &Caller, service: &str) {
    let lookup = Ask::lookup(service, "/stock/7", 5.0);
    println!("\n{service}: lookup   -> {:?}", caller.send(&lookup).await);
    let tickets = caller.tickets(1).await;
    let mut order = Ask::order(service, &format!("demo-{service}"), 5.0);
    order.key = tickets.into_iter().next();
    println!("{service}: order    -> {:?}", caller.send(&order).await);
    println!(
        "{service}: again    -> {:?} (the same answer, not run twice)",
        caller.send(&order).await
    );
    let body = Bytes::from(vec![7; 4 * 1024 * 1024]);
    let upload = Ask::upload(service, "/photos/7", body, 20.0);
    println!("{service}: upload   -> {:?}", caller.send(&upload).await);
}
