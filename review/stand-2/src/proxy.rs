//! Way of one daemon to the store, on which the answer to a write can be lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::record::Record;
use crate::server;

/// Way to the store.
pub struct Proxy {
    /// Its address.
    pub address: SocketAddr,
    late: Arc<AtomicBool>,
}

impl Proxy {
    /// Opens a way to the store. Once it is set to be late, the store performs a removal of rows after
    /// `delay` and does not answer it.
    pub async fn start(
        address: SocketAddr,
        store: SocketAddr,
        delay: Duration,
        record: Record,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let late = Arc::new(AtomicBool::new(false));
        let flag = late.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, store, delay, flag.clone(), record.clone()));
            }
        });
        Ok(Self { address, late })
    }

    /// Sets whether removals are performed late.
    pub fn set_late(&self, late: bool) {
        self.late.store(late, Ordering::Relaxed);
    }
}

/// Passes the calls of one connection on, one after the other.
async fn pass(
    mut client: TcpStream,
    store: SocketAddr,
    delay: Duration,
    late: Arc<AtomicBool>,
    record: Record,
) {
    let Ok(mut upstream) = TcpStream::connect(store).await else {
        return;
    };
    let mut buffer = Vec::new();
    let mut answer = vec![0; 64 * 1024];
    loop {
        let call = tokio::select! {
            call = read_call(&mut client, &mut buffer) => call,
            read = upstream.read(&mut answer) => {
                match read {
                    Ok(count) if count > 0 => {
                        if client.write_all(&answer[..count]).await.is_err() {
                            return;
                        }
                        continue;
                    }
                    _ => return,
                }
            }
        };
        let Some(call) = call else {
            return;
        };
        let text = String::from_utf8_lossy(&call);
        if late.load(Ordering::Relaxed) && text.contains("\"remove\":[{") {
            record.note("the store gets a removal, and will perform it late, without an answer");
            perform_late(store, call, delay, record).await;
            // Nothing further arrives on the connection.
            return;
        }
        if upstream.write_all(&call).await.is_err() {
            return;
        }
    }
}

async fn perform_late(store: SocketAddr, call: Vec<u8>, delay: Duration, record: Record) {
    tokio::time::sleep(delay).await;
    let Ok(mut stream) = TcpStream::connect(store).await else {
        return;
    };
    let mut answer = [0; 1024];
    if stream.write_all(&call).await.is_ok() && stream.read(&mut answer).await.is_ok() {
        record.note("the store has performed the removal");
    }
}

/// Reads one call: its head and body. Bytes that are read stay in `buffer` if this is dropped.
async fn read_call(client: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    loop {
        let end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = server::field(&head, "content-length");
            let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            let size: usize = end + 4 + length;
            if buffer.len() >= size {
                return Some(buffer.drain(..size).collect());
            }
        }
        if client.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
