//! Readiness and status of an instance, and the fleet as the instance sees it.

use std::collections::BTreeMap;

use http::Response;
use http::StatusCode;
use ractor::call_t;
use serde::Deserialize;
use serde::Serialize;
use wb_dispatch::policy::ServerView;
use wb_http::Body;
use wb_types::id::Incarnation;
use wb_types::id::InstanceName;
use wb_types::id::ServiceName;
use wb_types::id::TableVersion;
use wb_types::member::HomeLoad;

use super::json_with;
use crate::Context;
use crate::fleet::MemberView;
use crate::service::ServiceMessage;

/// Longest wait for the actor of a service, in milliseconds.
const SERVICE_MS: u64 = 500;

/// Readiness of an instance for requests of callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ready {
    /// Whether the instance is ready.
    pub ready: bool,
    /// Reasons why it is not ready.
    pub missing: Vec<String>,
}

/// Status of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Version of its policy table.
    pub table: TableVersion,
    /// Whether no other instance answers its probes.
    pub isolated: bool,
    /// Whether it is leaving the fleet.
    pub leaving: bool,
    /// Requests in progress.
    pub active: i64,
    /// Number of tickets that it holds.
    pub tickets: usize,
    /// Members of the fleet.
    pub members: Vec<MemberView>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
}

/// Status of a service at an instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceStatus {
    /// Homes of the service.
    pub homes: Vec<InstanceName>,
    /// Servers that the instance owns.
    pub servers: Vec<ServerView>,
    /// Load, if the instance is a home of the service.
    pub load: Option<HomeLoad>,
}

/// Responds with the readiness of the instance.
pub(super) fn ready(context: &Context) -> Response<Body> {
    let table = context.table();
    let mut missing = Vec::new();
    if table.version() == 0 && table.newer_rows().is_empty() {
        missing.push("no policy table: neither the platform nor a peer gave one".to_owned());
    }
    if !context.view().roster_read {
        missing.push("the platform's list has not been read".to_owned());
    }
    if *context.leaving.borrow() {
        missing.push("the instance is leaving".to_owned());
    }
    let ready = Ready {
        ready: missing.is_empty(),
        missing,
    };
    let status = if ready.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json_with(status, &ready)
}

/// Collects the status of the instance.
pub(super) async fn read(context: &Context) -> Status {
    let view = context.view();
    let mut services = BTreeMap::new();
    for (service, placement) in &view.services {
        let homes = placement.homes.iter().map(|slots| slots.home.name.clone());
        let status = ServiceStatus {
            homes: homes.collect(),
            servers: servers(context, service).await,
            load: load(context, service),
        };
        services.insert(service.clone(), status);
    }
    let tickets = context.tickets.lock().expect("lock is not poisoned").len();
    Status {
        instance: context.instance_name().clone(),
        incarnation: context.incarnation,
        table: context.table().version(),
        isolated: view.isolated,
        leaving: *context.leaving.borrow(),
        active: context.metrics.active.get(),
        tickets,
        members: view.members.clone(),
        services,
    }
}

fn load(context: &Context, service: &str) -> Option<HomeLoad> {
    let loads = context.loads.read().expect("lock is not poisoned");
    loads.get(service).cloned()
}

async fn servers(context: &Context, service: &str) -> Vec<ServerView> {
    let actor = {
        let services = context.services.read().expect("lock is not poisoned");
        services.get(service).cloned()
    };
    let Some(actor) = actor else {
        return Vec::new();
    };
    call_t!(actor, ServiceMessage::Servers, SERVICE_MS).unwrap_or_default()
}
