//! Client for calls to other instances.

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

/// Why a call failed. The call may have taken effect nevertheless.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// No response within the timeout.
    #[error("no answer in {0:?}")]
    Timeout(Duration),
    /// The connection or the RPC failed.
    #[error("call failed: {0}")]
    Failed(String),
    /// A payload could not be encoded or decoded.
    #[error("malformed payload: {0}")]
    Malformed(String),
}

/// Method and parameters of a call; bytes are in the postcard encoding.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Exchange(Vec<u8>),
    Probe(SocketAddr),
    Rows(TableVersion),
    Take(Box<TakeRequest>),
    Settle(RequestId),
    Adopt(Vec<u8>),
}

/// Parameters of [`Request::Take`]: a ticket and the process that asks for it.
#[derive(Clone, Debug)]
pub(crate) struct TakeRequest {
    pub(crate) ticket: String,
    pub(crate) holder: Holder,
}

/// Encoded result of a call.
pub(crate) type CallResult = Result<Vec<u8>, CallError>;

/// A call to be made by the RPC thread.
pub(crate) struct Call {
    pub(crate) target: SocketAddr,
    pub(crate) request: Request,
    pub(crate) timeout: Duration,
    pub(crate) reply: oneshot::Sender<CallResult>,
}

/// Counters of the traffic with other instances, for calls made and calls handled.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Payload bytes sent.
    pub sent: AtomicU64,
    /// Payload bytes received.
    pub received: AtomicU64,
    /// Calls made or handled.
    pub calls: AtomicU64,
}

/// Client for calls to other instances.
#[derive(Clone)]
pub struct PeerClient {
    pub(crate) calls: mpsc::UnboundedSender<Call>,
    pub(crate) traffic: Arc<Traffic>,
}

impl PeerClient {
    /// Returns the traffic counters.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends a gossip message to an instance and returns the message that it replies with.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; the same holds for the other methods.
    pub async fn exchange(
        &self,
        target: SocketAddr,
        gossip: &GossipMessage,
        timeout: Duration,
    ) -> Result<GossipMessage, CallError> {
        let request = Request::Exchange(encode(gossip)?);
        decode(&self.call(target, request, timeout).await?)
    }

    /// Asks `helper` to probe `target` and returns whether `target` answered.
    pub async fn probe(
        &self,
        helper: SocketAddr,
        target: SocketAddr,
        timeout: Duration,
    ) -> Result<bool, CallError> {
        let payload = self.call(helper, Request::Probe(target), timeout).await?;
        Ok(payload == [1])
    }

    /// Fetches the policy rows that changed after a version.
    pub async fn rows(
        &self,
        target: SocketAddr,
        after: TableVersion,
        timeout: Duration,
    ) -> Result<Delta, CallError> {
        decode(&self.call(target, Request::Rows(after), timeout).await?)
    }

    /// Asks an instance to hand a ticket over to `holder`.
    pub async fn take(
        &self,
        target: SocketAddr,
        ticket: &Ticket,
        holder: &Holder,
        timeout: Duration,
    ) -> Result<Handover, CallError> {
        let request = TakeRequest {
            ticket: ticket.to_string(),
            holder: holder.clone(),
        };
        decode(
            &self
                .call(target, Request::Take(Box::new(request)), timeout)
                .await?,
        )
    }

    /// Asks an instance for the outcome of a request that was forwarded to it. A request that has
    /// not begun there is barred.
    pub async fn settle(
        &self,
        target: SocketAddr,
        request: &RequestId,
        timeout: Duration,
    ) -> Result<ExecutionStatus, CallError> {
        let request = Request::Settle(request.clone());
        decode(&self.call(target, request, timeout).await?)
    }

    /// Hands ticket records over to an instance.
    pub async fn adopt(
        &self,
        target: SocketAddr,
        records: &[TicketRecord],
        timeout: Duration,
    ) -> Result<(), CallError> {
        let request = Request::Adopt(encode(&records)?);
        self.call(target, request, timeout).await.map(|_| ())
    }

    async fn call(&self, target: SocketAddr, request: Request, timeout: Duration) -> CallResult {
        let (reply, response) = oneshot::channel();
        let call = Call {
            target,
            request,
            timeout,
            reply,
        };
        let stopped = || CallError::Failed("the RPC thread has stopped".to_owned());
        self.calls.send(call).map_err(|_| stopped())?;
        response.await.map_err(|_| stopped())?
    }
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CallError> {
    postcard::to_stdvec(value).map_err(|err| CallError::Malformed(err.to_string()))
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CallError> {
    postcard::from_bytes(bytes).map_err(|err| CallError::Malformed(err.to_string()))
}
