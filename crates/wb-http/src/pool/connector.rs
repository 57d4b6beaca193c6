//! How connections are opened.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Opens connections to servers.
pub trait Connector: Send + Sync {
    /// Opens a connection. Dropping the future gives up.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector {
    /// Local address of the connections; the system chooses it if it is `None`.
    pub source: Option<IpAddr>,
}

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        let source = self.source;
        async move {
            let Some(source) = source else {
                return TcpStream::connect(address).await;
            };
            let socket = match address {
                SocketAddr::V4(_) => TcpSocket::new_v4(),
                SocketAddr::V6(_) => TcpSocket::new_v6(),
            }?;
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(address).await
        }
        .boxed()
    }
}
