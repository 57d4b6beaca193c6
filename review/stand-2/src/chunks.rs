//! Clients send bodies with idempotent requests: with a length, or in chunks if there is trouble.
//! Servers must get them whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::ensure;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wb_stand::published::fixtures;

use crate::bed::Bed;
use crate::client;
use crate::record::Record;
use crate::record::Sent;
use crate::server::Runs;
use crate::server::Server;

/// Sizes of the bodies, in bytes: the users' limit is 64 MB.
const SIZES: [usize; 4] = [1_000, 500_000, 1_200_000, 4_000_000];
/// The limit on bodies, as in the configurations of the users' deployments, in bytes.
const BODY_MAX: usize = 67_108_864;
/// Requests with each size.
const ROUNDS: usize = 5;
/// Size of a chunk, in bytes.
const CHUNK: usize = 16 * 1024;
/// Time budget of a request.
const BUDGET: Duration = Duration::from_millis(3000);
/// Time that servers take for a request.
const WORK: Duration = Duration::from_millis(20);

/// Sends a request with a body. Returns the status of the answer.
async fn exchange(
    daemon: SocketAddr,
    id: &str,
    size: usize,
    chunked: bool,
) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(daemon).await?;
    let framing = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {size}")
    };
    let head = format!(
        "GET /lookup/{id} HTTP/1.1\r\nHost: site.example\r\nX-Wisteriabarrow-Request-Id: {id}\r\nX-Wisteriabarrow-Deadline-Ms: {}\r\n{framing}\r\n\r\n",
        BUDGET.as_millis()
    );
    stream.write_all(head.as_bytes()).await?;
    let body = vec![b'x'; size];
    for chunk in body.chunks(CHUNK) {
        if chunked {
            let head = format!("{:x}\r\n", chunk.len());
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(chunk).await?;
            stream.write_all(b"\r\n").await?;
        } else {
            stream.write_all(chunk).await?;
        }
    }
    if chunked {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    let answer = client::read_answer(&mut stream, &mut Vec::new()).await?;
    Ok(answer.status)
}

/// Runs the case. Returns whether the rule was broken.
pub async fn run(record: &Record, trouble: bool) -> eyre::Result<bool> {
    let bed = Bed::start(&["grace_s=6", "drain_ms=2000", "config_apply_ms=2000"]).await?;
    let mut config = fixtures::config(1, 0);
    config["limits"]["max_body_bytes"] = json!(BODY_MAX);
    bed.write_config(&config);
    let runs = Runs::default();
    for index in 0..2 {
        let name = format!("i-{index}");
        let address = SocketAddr::new(bed.ip(100 + index), 8500);
        Server::start(&name, address, 6, Arc::new(|_: &str| WORK), runs.clone()).await?;
        let row = fixtures::server_row(address, "registry", "zone-a", "ready");
        bed.write_server(&name, &row);
    }
    let daemon = bed.start_daemon(1)?;
    bed.wait_ready(&daemon).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut broken = false;
    for size in SIZES.repeat(ROUNDS) {
        let id = format!("{:016x}", rand::random::<u64>());
        let at = Instant::now();
        let sending = exchange(daemon.front(), &id, size, trouble);
        let result = tokio::time::timeout(BUDGET, sending).await;
        record.sent(Sent {
            id: id.clone(),
            to: format!("{} with a body of {size} bytes", daemon.front()),
            at,
            end: Instant::now(),
            status: result.ok().and_then(Result::ok),
            note: "",
        });
        let all = runs.all();
        // A request that no server got would say nothing of its body.
        ensure!(
            all.iter().any(|run| run.id == id),
            "request {id} with {size} bytes was not run"
        );
        for run in all.iter().filter(|run| run.id == id) {
            let changed = run.size != size;
            record.say(format!(
                "request {id} with {size} bytes: server {} runs it with {} bytes{}",
                run.server,
                run.size,
                if changed { ": UNASKED broken" } else { "" }
            ));
            broken |= changed;
        }
    }
    Ok(broken)
}
