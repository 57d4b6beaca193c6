//! The RPC thread, which owns the connections to and from other instances.

mod client;
mod server;

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::Handler;
use crate::PeerClient;
use crate::call::Call;
use crate::call::Traffic;
use crate::peer_capnp::peer;

/// A connection to another instance. `generation` differs between connections to the same address.
#[derive(Clone)]
struct Connection {
    client: peer::Client,
    generation: u64,
}

/// Open connections to other instances, by address.
#[derive(Default)]
struct Connections {
    open: RefCell<HashMap<SocketAddr, Connection>>,
    generation: RefCell<u64>,
}

/// Calls that wait for the RPC thread to start, and the traffic counters.
pub struct PendingCalls {
    calls: mpsc::UnboundedReceiver<Call>,
    traffic: Arc<Traffic>,
}

/// Creates the client. Its calls wait until the thread is started with [`start`].
pub fn channel() -> (PeerClient, PendingCalls) {
    let (sender, calls) = mpsc::unbounded_channel();
    let traffic = Arc::new(Traffic::default());
    let peers = PeerClient {
        calls: sender,
        traffic: traffic.clone(),
    };
    (peers, PendingCalls { calls, traffic })
}

/// Starts the thread, which serves calls on `listener` and makes the calls of the client.
///
/// # Errors
///
/// If the thread or its runtime cannot be created.
pub fn start(
    listener: std::net::TcpListener,
    handler: Arc<dyn Handler>,
    pending: PendingCalls,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let run = move || {
        let local = LocalSet::new();
        local.block_on(&runtime, run(listener, handler, pending));
    };
    thread::Builder::new().name("peers".to_owned()).spawn(run)?;
    Ok(())
}

async fn run(listener: std::net::TcpListener, handler: Arc<dyn Handler>, pending: PendingCalls) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    let traffic = pending.traffic.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server = server::Server::new(handler.clone(), traffic.clone());
            spawn_local(serve(stream, server));
        }
    });
    let connections = Rc::new(Connections::default());
    let mut calls = pending.calls;
    while let Some(call) = calls.recv().await {
        spawn_local(client::run(
            connections.clone(),
            pending.traffic.clone(),
            call,
        ));
    }
}

async fn serve(stream: TcpStream, server: server::Server) {
    let client: peer::Client = capnp_rpc::new_client(server);
    let network = network(stream, Side::Server);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let _ = system.await;
}

fn network(stream: TcpStream, side: Side) -> VatNetwork<impl futures::AsyncRead + Unpin> {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    VatNetwork::new(
        read.compat(),
        write.compat_write(),
        side,
        Default::default(),
    )
}
