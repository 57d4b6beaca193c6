//! Links that can be cut, also in one direction.

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

/// Bytes passed on at a time.
const CHUNK: usize = 64 * 1024;
/// Longest time to reach the target.
const CONNECT: Duration = Duration::from_secs(1);

/// State of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// Passes everything on.
    #[default]
    Open,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Swallows what the dialling side sends.
    MuteOut,
    /// Swallows what the listening side sends.
    MuteBack,
    /// Swallows what both sides send on connections that are open now; new ones work.
    Silent,
}

/// One link: listens on an address and passes on to another.
pub struct Relay {
    link: watch::Sender<Link>,
}

impl Relay {
    /// Starts a link.
    pub fn start(listener: TcpListener, target: SocketAddr) -> Self {
        let (link, seen) = watch::channel(Link::Open);
        tokio::spawn(accept(listener, target, seen));
        Self { link }
    }

    /// Changes the state of the link.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, link: watch::Receiver<Link>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *link.borrow() == Link::Cut {
            continue;
        }
        tokio::spawn(pass(stream, target, link.clone()));
    }
}

async fn pass(near: TcpStream, target: SocketAddr, link: watch::Receiver<Link>) {
    let opening = tokio::time::timeout(CONNECT, TcpStream::connect(target));
    let Ok(Ok(far)) = opening.await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let born = *link.borrow();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let silent = Arc::new(AtomicBool::new(false));
    let out = pump(
        near_read,
        far_write,
        link.clone(),
        Link::MuteOut,
        silent.clone(),
    );
    let back = pump(
        far_read,
        near_write,
        link.clone(),
        Link::MuteBack,
        silent.clone(),
    );
    let watch = until_cut(link, born, silent);
    tokio::select! {
        _ = async { tokio::join!(out, back) } => {}
        () = watch => {}
    }
}

/// Ends when the link is cut; marks connections that were open when it went silent.
async fn until_cut(mut link: watch::Receiver<Link>, born: Link, silent: Arc<AtomicBool>) {
    let mut last = born;
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

async fn pump(
    mut read: tokio::net::tcp::OwnedReadHalf,
    mut write: tokio::net::tcp::OwnedWriteHalf,
    link: watch::Receiver<Link>,
    mute: Link,
    silent: Arc<AtomicBool>,
) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(count) = read.read(&mut chunk).await {
        let muted = *link.borrow() == mute || silent.load(Ordering::Relaxed);
        if muted && count > 0 {
            continue;
        }
        if count == 0 || write.write_all(&chunk[..count]).await.is_err() {
            break;
        }
    }
    let _ = write.shutdown().await;
}
