//! Slots at backend servers that instances count as taken while no request is in progress.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use wb_http::Pool;
use wb_http::client::Client;

use crate::testbed::Instance;
use crate::testbed::Testbed;

/// Port of an instance's metrics.
const METRICS_PORT: u16 = 9464;
/// Timeout of a read of the metrics.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Gauges that are 0 while no request is in progress in the fleet.
const GAUGES: [&str; 3] = ["slots_taken", "slots_held", "slots_reported"];

/// Waits until no instance counts a slot as taken. The callers must have stopped. Returns the instances that
/// still do when the requests and the messages about them have ended.
///
/// # Errors
///
/// When the state of a process can't be read.
pub async fn check_quiet(testbed: &mut Testbed) -> eyre::Result<Vec<String>> {
    // A request that must not be repeated goes on after its caller has left.
    let end = Instant::now() + testbed.options.deadline() * 2;
    let mut violations = Vec::new();
    for instance in &mut testbed.instances {
        loop {
            let slots = read(instance).await;
            let Some(problem) = problem(instance, slots.as_deref())? else {
                break;
            };
            if Instant::now() > end {
                violations.push(problem);
                break;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
    Ok(violations)
}

fn problem(instance: &mut Instance, slots: Option<&[u64]>) -> io::Result<Option<String>> {
    let exit = instance.exit()?;
    let name = &instance.name;
    let problem = match (slots, exit) {
        (None, None) => format!("{name} shows no metrics"),
        (None, Some(exit)) => format!("{name} shows no metrics, its process ended: {exit}"),
        (Some(slots), _) if slots.iter().any(|count| *count > 0) => {
            format!("{name} counts slots while no request is in progress: {GAUGES:?} are {slots:?}")
        }
        (Some(_), _) => return Ok(None),
    };
    Ok(Some(problem))
}

/// Reads the gauges; `None` if the instance does not answer with all of them.
async fn read(instance: &Instance) -> Option<Vec<u64>> {
    let client = Client {
        pool: Pool::new(wb_http::pool::Options::default()),
        address: SocketAddr::new(instance.ip, METRICS_PORT),
        timeout: READ_TIMEOUT,
        token: None,
    };
    let response = client.get("/metrics").await.ok()?;
    let text = String::from_utf8(response.body.to_vec()).ok()?;
    let gauge = |name: &&str| {
        let name = format!("wisteria_gateway_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&name))?;
        value.parse().ok()
    };
    GAUGES.iter().map(gauge).collect()
}
