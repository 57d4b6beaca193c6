//! A relay in front of the store, which can be cut.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// Size of the copy buffer, in bytes.
const BUFFER_SIZE: usize = 64 * 1024;

/// Open connections, and whether new ones are closed at once.
#[derive(Default)]
struct State {
    cut: bool,
    open: Vec<TcpStream>,
}

/// A relay.
pub struct Relay {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
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
        let state: Arc<Mutex<State>> = Arc::default();
        let serving = state.clone();
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                // A target that refuses closes the connection.
                let _ = connect(inbound, target, &serving);
            }
        });
        Ok(Self { address, state })
    }

    /// Closes all connections, and new ones as soon as they are accepted, or opens the path again.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.state.lock().expect("lock is not poisoned");
        state.cut = cut;
        for stream in state.open.drain(..) {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn connect(inbound: TcpStream, target: SocketAddr, state: &Mutex<State>) -> io::Result<()> {
    let outbound = TcpStream::connect(target)?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    {
        let mut state = state.lock().expect("lock is not poisoned");
        if state.cut {
            return Ok(());
        }
        state.open.push(inbound.try_clone()?);
        state.open.push(outbound.try_clone()?);
    }
    for (from, to) in [
        (inbound.try_clone()?, outbound.try_clone()?),
        (outbound, inbound),
    ] {
        thread::spawn(move || copy(from, to));
    }
    Ok(())
}

/// Copies until either side closes.
fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; BUFFER_SIZE];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The peer may have closed it already.
    let _ = to.shutdown(Shutdown::Write);
}
