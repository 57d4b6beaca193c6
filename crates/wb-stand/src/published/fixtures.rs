//! Settings files, configurations and rows as the platform writes them.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;

/// First port for traffic between instances.
const INTERNAL_PORT: u16 = 7660;
/// Port for callers.
pub const FRONT_PORT: u16 = 8144;
/// Port of the readiness check.
pub const READY_PORT: u16 = 8140;
/// Port of the directory.
pub const DIRECTORY_PORT: u16 = 8143;

/// Returns a settings file.
pub fn settings(name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> Value {
    let at = |port: u16| SocketAddr::new(ip, port).to_string();
    json!({
        "node_name": name,
        "role": "gateway",
        "machine_class": "front",
        "ip": ip.to_string(),
        "zone": zone,
        "region": "region",
        "listen": {"front": at(FRONT_PORT), "ready": at(READY_PORT), "directory": at(DIRECTORY_PORT)},
        "internal_ports": [INTERNAL_PORT, INTERNAL_PORT + 15],
        "seeds": [],
        "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100},
        "bounds": ["grace_s=6", "retry_budget_ratio=0.2", "budget_window_s=10",
            "budget_extra=56", "ttl_max_s=5"],
        "platform": {"address": store.to_string(), "form": "table"},
        "a_field_to_come": {"ignored": true},
    })
}

/// Returns a configuration with a route of each kind on one host, and `extra` further routes.
pub fn config(version: u64, extra: usize) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "host": "site.example", "prefix": prefix, "kind": kind, "timeout_ms": 3000,
            "target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
        })
    };
    let mut routes = json!({
        "lookup": route("/lookup/", "safe", "registry"),
        "order": route("/order/", "unsafe", "registry"),
        "upload": route("/upload/", "upload", "patterns"),
    });
    for index in 0..extra {
        let prefix = format!("/extra{index}/");
        routes[format!("extra{index}")] = route(&prefix, "safe", "registry");
    }
    json!({
        "version": format!("{version:08x}"),
        "routes": routes,
        "services": {
            "registry": {"health_path": "/health", "max_conns": 40},
            "patterns": {"health_path": "/health", "max_conns": 40},
        },
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 2_097_152,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

/// Returns a configuration with teams, each with its keys, and one more route, `/public/`, whose
/// requests need no key.
pub fn config_with_teams(version: u64, teams: &[(&str, &[&str])]) -> Value {
    let mut config = config(version, 0);
    let mut public = config["routes"]["lookup"].clone();
    public["prefix"] = json!("/public/");
    public["public"] = json!(true);
    config["routes"]["public"] = public;
    config["tenants"] = json!({});
    for (name, keys) in teams {
        config["tenants"][name] = json!({"api_keys": keys, "rate_per_s": 0, "burst": 0});
    }
    config
}

/// Start of the first process of each server, in Unix milliseconds.
const BORN: u64 = 1_700_000_000_000;
/// Number of server rows so far: each has a higher count of writes than those before.
static SERVER_ROWS: AtomicU64 = AtomicU64::new(1);

/// Returns the row that the first process of a server publishes about itself.
pub fn server_row(address: SocketAddr, service: &str, zone: &str, state: &str) -> Value {
    restarted_row(address, service, zone, state, 0)
}

/// Returns the row that a process of a server publishes about itself, the first one being number 0.
pub fn restarted_row(
    address: SocketAddr,
    service: &str,
    zone: &str,
    state: &str,
    start: u64,
) -> Value {
    let seq_no = SERVER_ROWS.fetch_add(1, Ordering::Relaxed);
    json!({
        "address": address.to_string(),
        "info": {"service": service, "version": "v1", "zone": zone, "slots": 6},
        "status": {"state": state, "seq_no": seq_no, "warmup_left_ms": 0},
        "born": BORN + start,
    })
}
