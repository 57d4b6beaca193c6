//! A relay in front of the store, whose open connections can go silent while new ones work.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// Size of the copy buffer, in bytes.
const BUFFER_SIZE: usize = 64 * 1024;

/// A relay.
pub struct Relay {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of times that open connections went silent.
    silences: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to a target.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let silences = Arc::new(AtomicU64::new(0));
        let counter = silences.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                // A target that refuses closes the connection.
                let _ = connect(inbound, target, &counter);
            }
        });
        Ok(Self { address, silences })
    }

    /// Discards all further bytes on the connections that are open now.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

fn connect(inbound: TcpStream, target: SocketAddr, counter: &Arc<AtomicU64>) -> io::Result<()> {
    let outbound = TcpStream::connect(target)?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let opened = counter.load(Ordering::SeqCst);
    for (from, to) in [
        (inbound.try_clone()?, outbound.try_clone()?),
        (outbound, inbound),
    ] {
        let counter = counter.clone();
        thread::spawn(move || copy(from, to, opened, &counter));
    }
    Ok(())
}

/// Copies until either side closes, and discards all bytes once the connection is silent.
fn copy(mut from: TcpStream, mut to: TcpStream, opened: u64, counter: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(count) = from.read(&mut buffer) {
        let silent = counter.load(Ordering::SeqCst) > opened;
        if count == 0 || (!silent && to.write_all(&buffer[..count]).is_err()) {
            break;
        }
    }
    if counter.load(Ordering::SeqCst) == opened {
        // The peer may have closed it already.
        let _ = to.shutdown(std::net::Shutdown::Write);
    }
}
