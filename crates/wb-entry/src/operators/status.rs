//! State of an instance, and of the fleet as it sees it.

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

/// Longest wait for a service's actor, in milliseconds.
const SERVICE_MS: u64 = 500;

/// Whether an instance is ready for callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ready {
    /// Whether it is.
    pub ready: bool,
    /// What is missing.
    pub missing: Vec<String>,
}

/// State of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Its name.
    pub instance: InstanceName,
    /// Its process start.
    pub incarnation: Incarnation,
    /// Version of the policy table in force.
    pub table: TableVersion,
    /// Whether no other instance answers.
    pub isolated: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests in progress.
    pub active: i64,
    /// Tickets held.
    pub tickets: usize,
    /// Members as it sees them.
    pub members: Vec<MemberView>,
    /// Services as it sees them.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
}

/// State of a service at an instance.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceStatus {
    /// Homes.
    pub homes: Vec<InstanceName>,
    /// Servers that the instance owns.
    pub servers: Vec<ServerView>,
    /// Load, if the instance is a home.
    pub load: Option<HomeLoad>,
}

/// Whether the instance is ready.
pub(super) fn ready(context: &Context) -> Response<Body> {
    let table = context.table();
    let mut missing = Vec::new();
    if table.version() == 0 && table.newer_rows().is_empty() {
        missing.push("no policy table: neither the platform nor a peer gave one".to_owned());
    }
    if !context.view().listed {
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

/// State of the instance.
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
    let tickets = context.claims.lock().expect("no holder panics").len();
    Status {
        instance: context.me().clone(),
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
    let loads = context.loads.read().expect("no holder panics");
    loads.get(service).cloned()
}

async fn servers(context: &Context, service: &str) -> Vec<ServerView> {
    let actor = {
        let services = context.services.read().expect("no holder panics");
        services.get(service).cloned()
    };
    let Some(actor) = actor else {
        return Vec::new();
    };
    call_t!(actor, ServiceMessage::Servers, SERVICE_MS).unwrap_or_default()
}
