//! A way to the store for some instances alone, with faults of its own.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Frame;
use http_body_util::StreamBody;
use tokio::sync::watch;
use wb_http::Body;
use wb_http::RequestBody;
use wb_http::body;
use wb_http::serve::Handler;

use super::store::StoreHandler;
use crate::reply;

/// How calls that come by a gate are answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Passage {
    /// By the store.
    Open,
    /// With this status.
    Refuses(StatusCode),
    /// Never.
    Silent,
    /// With a response that breaks off.
    Resets,
}

/// A way to the store, which can be closed. Calls in progress end as new ones do.
pub struct Gate {
    store: Arc<StoreHandler>,
    passage: watch::Sender<Passage>,
}

impl Gate {
    /// Creates an open way to a store.
    pub fn new(store: Arc<StoreHandler>) -> Self {
        Self {
            store,
            passage: watch::Sender::new(Passage::Open),
        }
    }

    /// Sets how calls are answered.
    pub fn set(&self, passage: Passage) {
        self.passage.send_replace(passage);
    }

    /// Waits until calls are not answered by the store.
    async fn wait_closed(&self) -> Passage {
        let mut passage = self.passage.subscribe();
        let closed = passage.wait_for(|passage| *passage != Passage::Open).await;
        // The gate's own sender lives as long as the gate.
        closed.map_or(Passage::Silent, |passage| *passage)
    }
}

/// Answers a call that the store does not get.
async fn refuse(passage: Passage) -> Response<Body> {
    match passage {
        Passage::Refuses(status) => reply::empty_response(status),
        Passage::Resets => Response::new(broken_body()),
        Passage::Open | Passage::Silent => std::future::pending().await,
    }
}

/// A body that breaks off before its first byte.
fn broken_body() -> Body {
    let error = io::Error::from(io::ErrorKind::ConnectionReset);
    let frames = [Err::<Frame<Bytes>, _>(error)];
    body::boxed(StreamBody::new(futures::stream::iter(frames)))
}

impl Handler for Gate {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        async move {
            let store = self.store.clone();
            tokio::select! {
                biased;
                passage = self.wait_closed() => refuse(passage).await,
                response = store.handle(request, peer) => response,
            }
        }
        .boxed()
    }
}
