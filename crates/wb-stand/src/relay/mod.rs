//! TCP relay that stands in for a network link and can be cut, also in one direction.

use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
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
use tokio::net::TcpSocket;
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

/// Sources whose connections are cut.
type SourceCuts = HashSet<IpAddr>;

/// One link: listens on an address and forwards connections to a target.
pub struct Relay {
    link: watch::Sender<Link>,
    cuts: watch::Sender<SourceCuts>,
    down: watch::Sender<bool>,
}

impl Relay {
    /// Starts an open link.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let relay = Self {
            link: watch::Sender::new(Link::Open),
            cuts: watch::Sender::default(),
            down: watch::Sender::new(false),
        };
        let state = State {
            link: relay.link.subscribe(),
            cuts: relay.cuts.subscribe(),
            down: relay.down.subscribe(),
        };
        tokio::spawn(run(listener, target, state));
        relay
    }

    /// Cuts connections from a source, or no longer.
    pub fn set_source_cut(&self, source: IpAddr, cut: bool) {
        self.cuts.send_modify(|cuts| {
            if cut {
                cuts.insert(source);
            } else {
                cuts.remove(&source);
            }
        });
    }

    /// Closes all connections and refuses new ones, as when the target's process has ended, or listens
    /// again.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Sets the state of the link.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// State of a relay, as its connections see it.
#[derive(Clone)]
struct State {
    link: watch::Receiver<Link>,
    cuts: watch::Receiver<SourceCuts>,
    down: watch::Receiver<bool>,
}

impl State {
    /// Returns when all connections from a source are cut.
    async fn until_closed(mut self, source: IpAddr) {
        let closed = tokio::select! {
            result = self.cuts.wait_for(|cuts| cuts.contains(&source)) => result.is_ok(),
            result = self.down.wait_for(|down| *down) => result.is_ok(),
        };
        if !closed {
            // The relay is gone, and nobody cuts its connections.
            std::future::pending::<()>().await;
        }
    }
}

/// Listens while the link is not down.
async fn run(listener: TcpListener, target: SocketAddr, state: State) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    let mut down = state.down.clone();
    loop {
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = accept(listener, target, &state) => {}
                _ = down.wait_for(|down| *down) => {}
            }
        }
        if down.wait_for(|down| !*down).await.is_err() {
            return;
        }
        listener = TcpListener::bind(address).await.ok();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: &State) {
    while let Ok((stream, peer)) = listener.accept().await {
        let cut = state.cuts.borrow().contains(&peer.ip());
        if cut || *state.link.borrow() == Link::Cut {
            continue;
        }
        tokio::spawn(relay(stream, peer.ip(), target, state.clone()));
    }
}

/// Opens a connection from the address that the other side was opened from, by which the target tells
/// its peers apart.
async fn connect(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = if target.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

async fn relay(inbound: TcpStream, source: IpAddr, target: SocketAddr, state: State) {
    let link = state.link.clone();
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(source, target));
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
        () = state.until_closed(source) => {}
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
