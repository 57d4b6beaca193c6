//! Opening connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use super::IdleConnection;
use super::OpenGuard;
use super::Pool;
use super::SendOptions;

/// Shortest interval of keep-alive probes; the system counts whole seconds.
const KEEPALIVE_MIN: Duration = Duration::from_secs(1);
/// Largest head of an answer, in bytes.
const HEAD_MAX: usize = 64 * 1024;

impl Pool {
    pub(super) fn take_idle(
        &self,
        address: SocketAddr,
        terms: SendOptions,
    ) -> Option<IdleConnection> {
        let limit = terms.max_idle.min(self.inner.options.idle_timeout);
        let mut stale = Vec::new();
        let mut hosts = self.inner.hosts.lock().expect("no holder panics");
        let host = hosts.get_mut(&address)?;
        let mut found = None;
        while let Some(idle) = host.idle.pop() {
            let usable = idle.sender.is_ready() && idle.since.elapsed() <= limit;
            if usable {
                found = Some(idle);
                break;
            }
            stale.push(idle);
        }
        drop(hosts);
        drop(stale);
        found
    }

    pub(super) fn put_idle(&self, idle: IdleConnection) {
        let address = idle.guard.address;
        let mut hosts = self.inner.hosts.lock().expect("no holder panics");
        hosts.entry(address).or_default().idle.push(idle);
    }

    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        terms: SendOptions,
    ) -> io::Result<IdleConnection> {
        let guard = self.reserve(address, terms.max_connections)?;
        let opening = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.inner.options.connect_timeout, opening).await??;
        tune(&stream, self.inner.options.ack_timeout)?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(IdleConnection {
            sender,
            guard,
            since: Instant::now(),
            used: false,
        })
    }

    fn reserve(&self, address: SocketAddr, limit: u32) -> io::Result<OpenGuard> {
        let mut hosts = self.inner.hosts.lock().expect("no holder panics");
        let host = hosts.entry(address).or_default();
        if host.open >= limit {
            return Err(io::Error::other("no connection left to this server"));
        }
        host.open += 1;
        Ok(OpenGuard {
            inner: self.inner.clone(),
            address,
        })
    }
}

/// Bounds the time that a connection can be silent without anyone noticing.
pub(crate) fn tune(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let keepalive = TcpKeepalive::new()
        .with_time(silence)
        .with_interval((silence / 4).max(KEEPALIVE_MIN))
        .with_retries(3);
    socket.set_tcp_keepalive(&keepalive)
}
