//! TCP relay that stands in for a network link and can be cut, also in one direction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Size of the copy buffer, in bytes.
const BUFFER_SIZE: usize = 64 * 1024;
/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// Forwards all data.
    #[default]
    Open,
    /// Closes open connections, and new ones as soon as they are accepted.
    Cut,
    /// Discards the data from the connecting side.
    MuteOut,
    /// Discards the data from the target.
    MuteBack,
    /// Discards the data from both sides on connections that are open already; new ones work.
    Silent,
}

/// One link: listens on an address and forwards connections to a target.
pub struct Relay {
    link: watch::Sender<Link>,
}

impl Relay {
    /// Starts an open link.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let (link, receiver) = watch::channel(Link::Open);
        tokio::spawn(accept(listener, target, receiver));
        Self { link }
    }

    /// Sets the state of the link.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: watch::Receiver<Link>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *link.borrow() == Link::Cut {
            continue;
        }
        tokio::spawn(relay(stream, target, link.clone()));
    }
}

async fn relay(inbound: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
    let Ok(Ok(outbound)) = connecting.await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let initial = *link.borrow();
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let silent = Arc::new(AtomicBool::new(false));
    let out = copy(
        inbound_read,
        outbound_write,
        link.clone(),
        Link::MuteOut,
        silent.clone(),
    );
    let back = copy(
        outbound_read,
        inbound_write,
        link.clone(),
        Link::MuteBack,
        silent.clone(),
    );
    let watch = until_cut(link, initial, silent);
    tokio::select! {
        _ = async { tokio::join!(out, back) } => {}
        () = watch => {}
    }
}

/// Returns when the link is cut. Sets `silent` when the link becomes silent during the connection.
async fn until_cut(mut link: watch::Receiver<Link>, initial: Link, silent: Arc<AtomicBool>) {
    let mut last = initial;
    loop {
        if link.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        let now = *link.borrow();
        if now == Link::Cut {
            return;
        }
        if now == Link::Silent && last != Link::Silent {
            silent.store(true, Ordering::Relaxed);
        }
        last = now;
    }
}

/// Copies data until either side closes, and discards it while the link is in state `mute` or
/// `silent` is set.
async fn copy(
    mut read: tokio::net::tcp::OwnedReadHalf,
    mut write: tokio::net::tcp::OwnedWriteHalf,
    link: watch::Receiver<Link>,
    mute: Link,
    silent: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(count) = read.read(&mut buffer).await {
        let muted = *link.borrow() == mute || silent.load(Ordering::Relaxed);
        if muted && count > 0 {
            continue;
        }
        if count == 0 || write.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = write.shutdown().await;
}
