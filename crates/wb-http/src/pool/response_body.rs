//! Response body that returns its connection to the pool.

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
use tokio::runtime::Handle;

use super::IdleConnection;
use super::Pool;

/// Body of a response. When it is dropped after it was read completely, its connection returns to the
/// pool; when it is dropped before that, the connection is closed.
pub struct ResponseBody {
    body: Incoming,
    lease: Option<Lease>,
    idle_time: Option<Duration>,
}

/// The connection of a response and the pool to which it returns.
struct Lease {
    connection: IdleConnection,
    pool: Pool,
}

impl ResponseBody {
    pub(super) fn new(
        body: Incoming,
        idle_time: Option<Duration>,
        connection: IdleConnection,
        pool: Pool,
    ) -> Self {
        Self {
            idle_time,
            body,
            lease: Some(Lease { connection, pool }),
        }
    }

    /// Closes the connection, also if the body was read completely: what follows on it is not known to
    /// belong to the next request.
    pub fn close(mut self) {
        self.lease = None;
    }

    /// Time that the connection was idle before this request, unless it was new.
    pub fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    fn release(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let Lease {
            mut connection,
            pool,
        } = lease;
        connection.reused = true;
        connection.idle_since = Instant::now();
        if connection.sender.is_ready() {
            pool.put_idle(connection);
            return;
        }
        // Without a runtime, the connection is closed.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            if connection.sender.ready().await.is_ok() {
                connection.idle_since = Instant::now();
                pool.put_idle(connection);
            }
        });
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if http_body::Body::is_end_stream(&self.body) {
            self.release();
        }
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
        if let (Some(Ok(frame)), Some(lease)) = (&frame, &self.lease)
            && frame.is_data()
        {
            lease.connection.meter.claim();
        }
        match &frame {
            None => self.release(),
            Some(Ok(_)) if http_body::Body::is_end_stream(&self.body) => self.release(),
            Some(Ok(_)) => {}
            Some(Err(_)) => self.lease = None,
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
