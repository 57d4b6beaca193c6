//! Making calls.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::Link;
use super::Links;
use super::network;
use crate::call::Ask;
use crate::call::Call;
use crate::call::CallError;
use crate::call::Payload;
use crate::call::Traffic;
use crate::peer_capnp::peer;

impl Links {
    async fn get(&self, target: SocketAddr) -> io::Result<Link> {
        if let Some(link) = self.open.borrow().get(&target) {
            return Ok(link.clone());
        }
        let stream = TcpStream::connect(target).await?;
        let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(system);
        *self.serial.borrow_mut() += 1;
        let link = Link {
            client,
            serial: *self.serial.borrow(),
        };
        self.open.borrow_mut().insert(target, link.clone());
        Ok(link)
    }

    /// Forgets a connection that failed: the next call opens a new one.
    fn forget(&self, target: SocketAddr, serial: u64) {
        let mut open = self.open.borrow_mut();
        if open.get(&target).is_some_and(|link| link.serial == serial) {
            open.remove(&target);
        }
    }
}

pub(super) async fn run(links: Rc<Links>, traffic: Arc<Traffic>, call: Call) {
    let target = call.target;
    let timeout = call.timeout;
    let opened = tokio::time::timeout(timeout, links.get(target)).await;
    let link = match opened {
        Ok(Ok(link)) => link,
        Ok(Err(err)) => {
            let _ = call.reply.send(Err(CallError::Failed(err.to_string())));
            return;
        }
        Err(_) => {
            let _ = call.reply.send(Err(CallError::Timeout(timeout)));
            return;
        }
    };
    let sent = size(&call.ask);
    let answered = tokio::time::timeout(timeout, ask(&link.client, call.ask)).await;
    let payload: Payload = match answered {
        Ok(Ok(payload)) => Ok(payload),
        Ok(Err(err)) => Err(CallError::Failed(err.to_string())),
        Err(_) => Err(CallError::Timeout(timeout)),
    };
    if payload.is_err() {
        links.forget(target, link.serial);
    }
    let received = payload.as_ref().map_or(0, |payload| payload.len() as u64);
    traffic.sent.fetch_add(sent, Ordering::Relaxed);
    traffic.received.fetch_add(received, Ordering::Relaxed);
    traffic.calls.fetch_add(1, Ordering::Relaxed);
    let _ = call.reply.send(payload);
}

fn size(ask: &Ask) -> u64 {
    let size = match ask {
        Ask::Exchange(bytes) | Ask::Adopt(bytes) => bytes.len(),
        Ask::Probe(_) | Ask::Rows(_) => size_of::<u64>(),
        Ask::Take(take) => take.ticket.len() + take.holder.name.len(),
        Ask::Settle(request) => request.len(),
    };
    size as u64
}

async fn ask(client: &peer::Client, ask: Ask) -> Result<Vec<u8>, capnp::Error> {
    match ask {
        Ask::Exchange(news) => {
            let mut request = client.exchange_request();
            request.get().set_news(&news);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_news()?.to_vec())
        }
        Ask::Probe(target) => {
            let mut request = client.probe_request();
            request.get().set_target(target.to_string());
            let response = request.send().promise.await?;
            Ok(vec![u8::from(response.get()?.get_alive())])
        }
        Ask::Rows(after) => {
            let mut request = client.rows_request();
            request.get().set_after(after);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_delta()?.to_vec())
        }
        Ask::Take(take) => {
            let mut request = client.take_request();
            request.get().set_ticket(take.ticket);
            request.get().set_holder(&*take.holder.name);
            request.get().set_incarnation(take.holder.incarnation);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_handover()?.to_vec())
        }
        Ask::Settle(id) => {
            let mut request = client.settle_request();
            request.get().set_request(&*id);
            let response = request.send().promise.await?;
            Ok(response.get()?.get_fate()?.to_vec())
        }
        Ask::Adopt(records) => {
            let mut request = client.adopt_request();
            request.get().set_records(&records);
            request.send().promise.await?;
            Ok(Vec::new())
        }
    }
}
