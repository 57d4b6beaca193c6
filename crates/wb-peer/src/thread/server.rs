//! Server side: decodes calls and passes them to the handler.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use capnp::Error;
use capnp::capability::Rc;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wb_claim::Ticket;
use wb_claim::store::Holder;

use crate::Handler;
use crate::call::Traffic;
use crate::call::decode;
use crate::call::encode;
use crate::peer_capnp::peer;

/// Serves the calls of one connection.
pub(super) struct Server {
    handler: Arc<dyn Handler>,
    traffic: Arc<Traffic>,
}

impl Server {
    pub(super) fn new(handler: Arc<dyn Handler>, traffic: Arc<Traffic>) -> Self {
        Self { handler, traffic }
    }

    fn count_call(&self, received: usize, sent: usize) {
        let traffic = &self.traffic;
        traffic
            .received
            .fetch_add(received as u64, Ordering::Relaxed);
        traffic.sent.fetch_add(sent as u64, Ordering::Relaxed);
        traffic.calls.fetch_add(1, Ordering::Relaxed);
    }
}

fn encode_payload<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    encode(value).map_err(|err| Error::failed(err.to_string()))
}

fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    decode(bytes).map_err(|err| Error::failed(err.to_string()))
}

impl peer::Server for Server {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let bytes = params.get()?.get_news()?;
        let received = bytes.len();
        let gossip = self.handler.exchange(decode_payload(bytes)?).await;
        let payload = encode_payload(&gossip)?;
        self.count_call(received, payload.len());
        results.get().set_news(&payload);
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        params: peer::ProbeParams,
        mut results: peer::ProbeResults,
    ) -> Result<(), Error> {
        let target = params.get()?.get_target()?.to_str()?;
        let target = target
            .parse()
            .map_err(|_| Error::failed("target is no address".to_owned()))?;
        let alive = self.handler.probe(target).await;
        self.count_call(size_of::<u64>(), 1);
        results.get().set_alive(alive);
        Ok(())
    }

    async fn rows(
        self: Rc<Self>,
        params: peer::RowsParams,
        mut results: peer::RowsResults,
    ) -> Result<(), Error> {
        let after = params.get()?.get_after();
        let payload = encode_payload(&self.handler.rows(after).await)?;
        self.count_call(size_of::<u64>(), payload.len());
        results.get().set_delta(&payload);
        Ok(())
    }

    async fn take(
        self: Rc<Self>,
        params: peer::TakeParams,
        mut results: peer::TakeResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let text = params.get_ticket()?.to_str()?;
        let received = text.len();
        let ticket: Ticket = text
            .parse()
            .map_err(|_| Error::failed("ticket is malformed".to_owned()))?;
        let holder = Holder {
            name: params.get_holder()?.to_str()?.into(),
            incarnation: params.get_incarnation(),
        };
        let payload = encode_payload(&self.handler.take(ticket, holder).await)?;
        self.count_call(received, payload.len());
        results.get().set_handover(&payload);
        Ok(())
    }

    async fn settle(
        self: Rc<Self>,
        params: peer::SettleParams,
        mut results: peer::SettleResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_request()?.to_str()?;
        let received = request.len();
        let payload = encode_payload(&self.handler.settle(request.into()).await)?;
        self.count_call(received, payload.len());
        results.get().set_fate(&payload);
        Ok(())
    }

    async fn adopt(
        self: Rc<Self>,
        params: peer::AdoptParams,
        _results: peer::AdoptResults,
    ) -> Result<(), Error> {
        let bytes = params.get()?.get_records()?;
        let received = bytes.len();
        self.handler.adopt(decode_payload(bytes)?).await;
        self.count_call(received, 0);
        Ok(())
    }
}
