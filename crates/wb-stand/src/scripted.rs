//! Servers that send scripted bytes, for responses that no HTTP library sends, and a caller that finds out
//! which of them look whole.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::Version;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wb_http::Body;
use wb_http::body::BoxError;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a server does next on a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits, without reading.
    Pause(Duration),
    /// Reads and discards what comes in this time.
    Read(Duration),
    /// Ends the connection in order.
    Close,
    /// Resets the connection.
    Reset,
}

/// Returns the steps after the head of a request, given in lower case.
pub type Script = Arc<dyn Fn(&str) -> Vec<Step> + Send + Sync>;

/// What a server has read on each of its connections, in the order in which they were opened.
pub type Received = Arc<Mutex<Vec<Vec<u8>>>>;

/// A server that plays a script on each connection.
pub struct ScriptedServer {
    /// Its address.
    pub address: SocketAddr,
    /// What it has read.
    pub received: Received,
    /// Number of its open connections.
    pub open: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// Starts a server on a loopback address.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(script: Script) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let received = Received::default();
        let open = Arc::new(AtomicUsize::new(0));
        let all = received.clone();
        let count = open.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut connections = all.lock().expect("lock is not poisoned");
                let index = connections.len();
                connections.push(Vec::new());
                drop(connections);
                let connection = Connection {
                    stream,
                    index,
                    received: all.clone(),
                };
                let script = script.clone();
                let count = count.clone();
                count.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    // The peer may end the connection at any moment.
                    let _ = connection.play(&script).await;
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(Self {
            address,
            received,
            open,
        })
    }
}

/// Returns a field of a head, given in lower case.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.split("\r\n").filter_map(|line| line.split_once(": "));
    lines.find_map(|(found, value)| (found == name).then_some(value))
}

/// Sends a request on a new connection, in the version of HTTP that it names, and reads the whole
/// response, its body only after a pause.
///
/// # Errors
///
/// If there is no response or it is not complete.
pub async fn call(
    address: SocketAddr,
    request: Request<Body>,
    pause: Duration,
) -> Result<Response<Bytes>, BoxError> {
    let stream = TokioIo::new(TcpStream::connect(address).await?);
    let response = if request.version() == Version::HTTP_2 {
        let (mut sender, connection) = http2::handshake(TokioExecutor::new(), stream).await?;
        tokio::spawn(connection);
        sender.send_request(request).await?
    } else {
        let (mut sender, connection) = http1::handshake(stream).await?;
        tokio::spawn(connection);
        sender.send_request(request).await?
    };
    tokio::time::sleep(pause).await;
    let (head, body) = response.into_parts();
    let bytes = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, bytes))
}

struct Connection {
    stream: TcpStream,
    index: usize,
    received: Received,
}

impl Connection {
    /// Reads the head of a request and plays its script; then reads on until the peer ends the
    /// connection.
    async fn play(mut self, script: &Script) -> io::Result<()> {
        let Some(head) = self.read_head().await? else {
            return Ok(());
        };
        for step in script(&head) {
            match step {
                Step::Send(bytes) => self.stream.write_all(&bytes).await?,
                Step::Pause(pause) => tokio::time::sleep(pause).await,
                Step::Read(time) => {
                    // Ends with the time, or with the connection, which the next step notices.
                    let _ = tokio::time::timeout(time, self.read_all()).await;
                }
                Step::Close => return self.stream.shutdown().await,
                Step::Reset => return self.reset(),
            }
        }
        self.read_all().await
    }

    async fn read_head(&mut self) -> io::Result<Option<String>> {
        loop {
            let bytes = self.received.lock().expect("lock is not poisoned")[self.index].clone();
            let end = bytes.windows(HEAD_END.len());
            if let Some(end) = end.into_iter().position(|window| window == HEAD_END) {
                let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
                return Ok(Some(head));
            }
            if self.read().await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn read_all(&mut self) -> io::Result<()> {
        while self.read().await? > 0 {}
        Ok(())
    }

    async fn read(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 4096];
        let count = self.stream.read(&mut bytes).await?;
        let mut received = self.received.lock().expect("lock is not poisoned");
        received[self.index].extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn reset(self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }
}
