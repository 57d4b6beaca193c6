//! Taking idle connections from the pool and opening new ones.

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
use super::metered::Meter;
use super::metered::Metered;

/// Shortest interval of TCP keepalive probes; the kernel counts in whole seconds.
const KEEPALIVE_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Size limit of a response head, in bytes, and of what is read from a connection ahead of its body.
const HEAD_MAX: usize = 32 * 1024;

impl Pool {
    /// Takes the most recently used connection that is still usable and has not just been used for the
    /// same request, and closes those that are not usable.
    pub(super) fn take_idle(
        &self,
        address: SocketAddr,
        options: SendOptions,
    ) -> Option<IdleConnection> {
        let limit = options.max_idle.min(self.inner.options.idle_timeout);
        let mut stale = Vec::new();
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        let host = hosts.get_mut(&address)?;
        let mut found = None;
        let mut passed_over = Vec::new();
        while let Some(idle) = host.idle.pop() {
            let usable = idle.sender.is_ready() && idle.idle_since.elapsed() <= limit;
            if !usable {
                stale.push(idle);
            } else if options.tag.is_some() && idle.last == options.tag {
                passed_over.push(idle);
            } else {
                found = Some(idle);
                break;
            }
        }
        host.idle.extend(passed_over.into_iter().rev());
        drop(hosts);
        drop(stale);
        found
    }

    pub(super) fn put_idle(&self, idle: IdleConnection) {
        let address = idle.guard.address;
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        hosts.entry(address).or_default().idle.push(idle);
    }

    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        options: SendOptions,
    ) -> io::Result<IdleConnection> {
        let guard = self.reserve(address, options.max_connections)?;
        let opening = self.inner.connector.connect(address);
        let stream = tokio::time::timeout(self.inner.options.connect_timeout, opening).await??;
        configure(&stream, self.inner.options.ack_timeout)?;
        let meter = Meter::default();
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .handshake(TokioIo::new(Metered::new(stream, meter.clone())));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(IdleConnection {
            sender,
            guard,
            idle_since: Instant::now(),
            reused: false,
            last: None,
            meter,
        })
    }

    fn reserve(&self, address: SocketAddr, limit: u32) -> io::Result<OpenGuard> {
        let mut hosts = self.inner.hosts.lock().expect("lock is not poisoned");
        let host = hosts.entry(address).or_default();
        if host.open >= limit {
            return Err(io::Error::other(
                "connection limit of this server is reached",
            ));
        }
        host.open += 1;
        Ok(OpenGuard {
            inner: self.inner.clone(),
            address,
        })
    }
}

/// Disables Nagle's algorithm and lets the kernel close a connection whose peer acknowledges nothing: one
/// with unacknowledged data after `timeout`. An idle one is probed after `timeout`, and closed at the
/// next probe, a quarter of it but at least a second later: beside `TCP_USER_TIMEOUT` the number of
/// probes does not count.
pub(crate) fn configure(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let keepalive = TcpKeepalive::new()
        .with_time(timeout)
        .with_interval((timeout / 4).max(KEEPALIVE_INTERVAL_MIN));
    socket.set_tcp_keepalive(&keepalive)
}
