//! Body of an answer that gives its connection back.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

use super::IdleConnection;
use super::Pool;

/// Body of an answer. Once it is read whole, its connection can be used again; when it is
/// dropped before that, the connection is closed.
pub struct ResponseBody {
    body: Incoming,
    held: Option<Held>,
    idle_time: Option<Duration>,
}

struct Held {
    idle: IdleConnection,
    pool: Pool,
}

impl ResponseBody {
    pub(super) fn new(
        body: Incoming,
        idle_time: Option<Duration>,
        idle: IdleConnection,
        pool: Pool,
    ) -> Self {
        let mut answer = Self {
            idle_time,
            body,
            held: Some(Held { idle, pool }),
        };
        if http_body::Body::is_end_stream(&answer.body) {
            answer.give_back();
        }
        answer
    }

    /// How long the connection had waited unused, unless it was new.
    pub fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    fn give_back(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        let Held { mut idle, pool } = held;
        idle.used = true;
        idle.since = Instant::now();
        if idle.sender.is_ready() {
            pool.put_idle(idle);
            return;
        }
        tokio::spawn(async move {
            if idle.sender.ready().await.is_ok() {
                idle.since = Instant::now();
                pool.put_idle(idle);
            }
        });
    }
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            None => self.give_back(),
            Some(Ok(_)) if http_body::Body::is_end_stream(&self.body) => self.give_back(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.held = None,
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
