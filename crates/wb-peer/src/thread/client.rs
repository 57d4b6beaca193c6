//! Client side: makes calls over cached connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::Connection;
use super::Connections;
use super::network;
use crate::call::Call;
use crate::call::CallError;
use crate::call::CallResult;
use crate::call::Request;
use crate::call::Traffic;
use crate::peer_capnp::peer;

impl Connections {
    async fn get(&self, target: SocketAddr) -> io::Result<Connection> {
        if let Some(connection) = self.open.borrow().get(&target) {
            return Ok(connection.clone());
        }
        let stream = TcpStream::connect(target).await?;
        let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(system);
        *self.generation.borrow_mut() += 1;
        let connection = Connection {
            client,
            generation: *self.generation.borrow(),
        };
        self.open.borrow_mut().insert(target, connection.clone());
        Ok(connection)
    }

    /// Drops a failed connection, unless it has been replaced already. The next call opens a new
    /// one.
    fn forget(&self, target: SocketAddr, generation: u64) {
        let mut open = self.open.borrow_mut();
        if open
            .get(&target)
            .is_some_and(|connection| connection.generation == generation)
        {
            open.remove(&target);
        }
    }
}

pub(super) async fn run(connections: Rc<Connections>, traffic: Arc<Traffic>, call: Call) {
    let target = call.target;
    let timeout = call.timeout;
    let opened = tokio::time::timeout(timeout, connections.get(target)).await;
    let connection = match opened {
        Ok(Ok(connection)) => connection,
        Ok(Err(err)) => {
            let _ = call.reply.send(Err(CallError::Failed(err.to_string())));
            return;
        }
        Err(_) => {
            let _ = call.reply.send(Err(CallError::Timeout(timeout)));
            return;
        }
    };
    let sent = payload_size(&call.request);
    let answered = tokio::time::timeout(timeout, send(&connection.client, call.request)).await;
    let result: CallResult = match answered {
        Ok(Ok(payload)) => Ok(payload),
        Ok(Err(err)) => Err(CallError::Failed(err.to_string())),
        Err(_) => Err(CallError::Timeout(timeout)),
    };
    if result.is_err() {
        connections.forget(target, connection.generation);
    }
    let received = result.as_ref().map_or(0, |payload| payload.len() as u64);
    traffic.sent.fetch_add(sent, Ordering::Relaxed);
    traffic.received.fetch_add(received, Ordering::Relaxed);
    traffic.calls.fetch_add(1, Ordering::Relaxed);
    let _ = call.reply.send(result);
}

fn payload_size(call: &Request) -> u64 {
    let size = match call {
        Request::Exchange(bytes) | Request::Adopt(bytes) => bytes.len(),
        Request::Probe(_) | Request::Rows(_) => size_of::<u64>(),
        Request::Take(take) => take.ticket.len() + take.holder.name.len(),
        Request::Settle(request) => request.len(),
    };
    size as u64
}

async fn send(client: &peer::Client, call: Request) -> Result<Vec<u8>, capnp::Error> {
    match call {
        Request::Exchange(gossip) => {
            let mut request = client.exchange_request();
            request.get().set_news(&gossip);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_news()?.to_vec())
        }
        Request::Probe(target) => {
            let mut request = client.probe_request();
            request.get().set_target(target.to_string());
            let response = request.send().promise.await?;
            Ok(vec![u8::from(response.get()?.get_alive())])
        }
        Request::Rows(after) => {
            let mut request = client.rows_request();
            request.get().set_after(after);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_delta()?.to_vec())
        }
        Request::Take(take) => {
            let mut request = client.take_request();
            request.get().set_ticket(take.ticket);
            request.get().set_holder(&*take.holder.name);
            request.get().set_incarnation(take.holder.incarnation);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_handover()?.to_vec())
        }
        Request::Settle(id) => {
            let mut request = client.settle_request();
            request.get().set_request(&*id);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_fate()?.to_vec())
        }
        Request::Adopt(records) => {
            let mut request = client.adopt_request();
            request.get().set_records(&records);
            request.send().promise.await?;
            Ok(Vec::new())
        }
    }
}
