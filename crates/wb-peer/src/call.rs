//! What an instance asks, as messages to the thread that holds the connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wb_claim::ExecutionStatus;
use wb_claim::Handover;
use wb_claim::Ticket;
use wb_claim::TicketRecord;
use wb_claim::store::Holder;
use wb_types::id::RequestId;
use wb_types::id::TableVersion;
use wb_types::member::GossipMessage;
use wb_types::policy::Delta;

/// Why a call gave nothing. It may have taken effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No answer in time.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The connection or the library failed.
    #[error("call failed: {0}")]
    Failed(String),
    /// The payload is not of the expected type.
    #[error("malformed payload: {0}")]
    Malformed(String),
}

/// What is asked.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    Exchange(Vec<u8>),
    Probe(SocketAddr),
    Rows(TableVersion),
    Take(Box<TakeAsk>),
    Settle(RequestId),
    Adopt(Vec<u8>),
}

/// A ticket, and the process that asks for it.
#[derive(Clone, Debug)]
pub(crate) struct TakeAsk {
    pub(crate) ticket: String,
    pub(crate) holder: Holder,
}

/// Payload of an answer.
pub(crate) type Payload = Result<Vec<u8>, CallError>;

/// A call on its way to the thread.
pub(crate) struct Call {
    pub(crate) target: SocketAddr,
    pub(crate) ask: Ask,
    pub(crate) timeout: Duration,
    pub(crate) reply: oneshot::Sender<Payload>,
}

/// Bytes of payload that were sent and received.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
    /// Calls made or answered.
    pub calls: AtomicU64,
}

/// Calls of other instances.
#[derive(Clone)]
pub struct Peers {
    pub(crate) calls: mpsc::UnboundedSender<Call>,
    pub(crate) traffic: Arc<Traffic>,
}

impl Peers {
    /// Bytes of payload so far.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Exchanges news with an instance.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; likewise below.
    pub async fn exchange(
        &self,
        target: SocketAddr,
        news: &GossipMessage,
        timeout: Duration,
    ) -> Result<GossipMessage, CallError> {
        let ask = Ask::Exchange(encode(news)?);
        decode(&self.call(target, ask, timeout).await?)
    }

    /// Asks an instance to probe another; whether that one answered.
    pub async fn probe(
        &self,
        helper: SocketAddr,
        target: SocketAddr,
        timeout: Duration,
    ) -> Result<bool, CallError> {
        let payload = self.call(helper, Ask::Probe(target), timeout).await?;
        Ok(payload == [1])
    }

    /// Reads policy rows that changed after a version.
    pub async fn rows(
        &self,
        target: SocketAddr,
        after: TableVersion,
        timeout: Duration,
    ) -> Result<Delta, CallError> {
        decode(&self.call(target, Ask::Rows(after), timeout).await?)
    }

    /// Asks for a ticket.
    pub async fn take(
        &self,
        target: SocketAddr,
        ticket: &Ticket,
        holder: &Holder,
        timeout: Duration,
    ) -> Result<Handover, CallError> {
        let ask = TakeAsk {
            ticket: ticket.to_string(),
            holder: holder.clone(),
        };
        decode(&self.call(target, Ask::Take(Box::new(ask)), timeout).await?)
    }

    /// Asks what became of passed work.
    pub async fn settle(
        &self,
        target: SocketAddr,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<ExecutionStatus, CallError> {
        let ask = Ask::Settle(request.clone());
        decode(&self.call(target, ask, timeout).await?)
    }

    /// Hands over records of tickets.
    pub async fn adopt(
        &self,
        target: SocketAddr,
        records: &[TicketRecord],
        timeout: Duration,
    ) -> Result<(), CallError> {
        let ask = Ask::Adopt(encode(&records)?);
        self.call(target, ask, timeout).await.map(|_| ())
    }

    async fn call(&self, target: SocketAddr, ask: Ask, timeout: Duration) -> Payload {
        let (reply, answer) = oneshot::channel();
        let call = Call {
            target,
            ask,
            timeout,
            reply,
        };
        let gone = || CallError::Failed("the peer thread has ended".to_owned());
        self.calls.send(call).map_err(|_| gone())?;
        answer.await.map_err(|_| gone())?
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CallError> {
    postcard::to_stdvec(value).map_err(|err| CallError::Malformed(err.to_string()))
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    postcard::from_bytes(bytes).map_err(|err| CallError::Malformed(err.to_string()))
}
