//! Demonstration: sends a few requests to a small fleet and prints their outcomes.

use std::time::Duration;

use bytes::Bytes;
use wb_ctl::show;

use crate::caller::Caller;
use crate::caller::RequestSpec;
use crate::fleet::Fleet;
use crate::fleet::OPERATORS_TOKEN;

/// Prints the instances, sends requests to every service and prints the outcomes. With `serve` it
/// then keeps the fleet running and does not return.
///
/// # Errors
///
/// When an instance does not answer an operator request.
pub async fn run(fleet: &Fleet, serve: bool) -> eyre::Result<()> {
    let addresses = fleet.caller_addresses();
    println!("{} entry processes are ready:", addresses.len());
    for (index, instance) in fleet.roster.instances.iter().enumerate() {
        println!(
            "  {} domain {} callers {} operators {}",
            instance.name,
            instance.domain,
            instance.callers,
            fleet.deployment.operator_address(index)
        );
    }
    println!("\n{}", show::table(&fleet.operator(0).table().await?));
    for service in &fleet.deployment.services {
        let key = caller_key(&fleet.deployment.name);
        let caller = Caller::new(key, addresses.clone());
        send_requests(&caller, &service.name).await;
    }
    println!("\n{}", show::status(&fleet.operator(0).status().await?));
    println!("\noperators' token: {OPERATORS_TOKEN} (set WISTERIA_TOKEN for `wisteria`)");
    if serve {
        println!("the fleet runs until this program is stopped");
        loop {
            tokio::time::sleep(Duration::from_secs(3600)).await;
        }
    }
    Ok(())
}

/// Returns the key of a caller that may use every service of the example.
fn caller_key(deployment: &str) -> &'static str {
    match deployment {
        "association" => "key-of-all-services",
        _ => "key-of-touring-house",
    }
}

async fn send_requests(caller: &Caller, service: &str) {
    let lookup = RequestSpec::lookup(service, "/stock/7", 5.0);
    println!("\n{service}: lookup   -> {:?}", caller.send(&lookup).await);
    let tickets = caller.request_tickets(1).await;
    let mut order = RequestSpec::order(service, &format!("demo-{service}"), 5.0);
    order.idempotency_key = tickets.into_iter().next();
    println!("{service}: order    -> {:?}", caller.send(&order).await);
    println!(
        "{service}: repeat   -> {:?} (the stored response, not run again)",
        caller.send(&order).await
    );
    let body = Bytes::from(vec![7; 4 * 1024 * 1024]);
    let upload = RequestSpec::upload(service, "/photos/7", body, 20.0);
    println!("{service}: upload   -> {:?}", caller.send(&upload).await);
}
