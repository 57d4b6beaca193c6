//! Backend server that speaks the published protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// A request that a server has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Id of the server.
    pub server: String,
    /// Size of the body that it got, in bytes.
    pub size: usize,
    /// When it began.
    pub began: Instant,
    /// When its answer was written; `None` before.
    pub ended: Option<Instant>,
}

/// Runs of all servers.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// All runs so far.
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("lock is not poisoned").clone()
    }

    fn begin(&self, id: &str, server: &str, size: usize) -> usize {
        let mut runs = self.0.lock().expect("lock is not poisoned");
        runs.push(Run {
            id: id.to_owned(),
            server: server.to_owned(),
            size,
            began: Instant::now(),
            ended: None,
        });
        runs.len() - 1
    }

    fn end(&self, index: usize) {
        let mut runs = self.0.lock().expect("lock is not poisoned");
        runs[index].ended = Some(Instant::now());
    }
}

/// A server.
pub struct Server;

/// Decides how long a request takes.
pub type Work = Arc<dyn Fn(&str) -> Duration + Send + Sync>;

impl Server {
    /// Starts a server.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        slots: usize,
        work: Work,
        runs: Runs,
    ) -> eyre::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let slots = Arc::new(Semaphore::new(slots));
        let id = name.to_owned();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let connection = serve(
                    stream,
                    id.clone(),
                    slots.clone(),
                    work.clone(),
                    runs.clone(),
                );
                tokio::spawn(connection);
            }
        });
        Ok(())
    }
}

async fn serve(mut stream: TcpStream, name: String, slots: Arc<Semaphore>, work: Work, runs: Runs) {
    let mut buffer = Vec::new();
    loop {
        let Some(head) = read_head(&mut stream, &mut buffer).await else {
            return;
        };
        let Some(size) = read_body(&mut stream, &mut buffer, &head).await else {
            return;
        };
        let id = field(&head, "x-wisteriabarrow-request-id").unwrap_or_default();
        let Ok(_slot) = slots.acquire().await else {
            return;
        };
        if head.starts_with("GET /health ") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Wisteriabarrow-Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let run = runs.begin(&id, &name, size);
        let mut byte = [0; 1];
        // A server drops a request when its connection closes.
        tokio::select! {
            () = tokio::time::sleep(work(&id)) => {}
            _ = stream.peek(&mut byte) => return,
        }
        let body = format!("answer to {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Wisteriabarrow-Request-Id: {id}\r\nX-Wisteriabarrow-Response-Signature: {name}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        runs.end(run);
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        let count = stream.read_buf(buffer).await.ok()?;
        if count == 0 {
            return None;
        }
    }
}

/// Reads the body of a request, and returns its size.
async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> Option<usize> {
    if field(head, "transfer-encoding").is_none() {
        let length = field(head, "content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        fill(stream, buffer, length).await?;
        buffer.drain(..length);
        return Some(length);
    }
    let mut all = 0;
    loop {
        let end = buffer.windows(2).position(|window| window == b"\r\n");
        let Some(end) = end else {
            let more = buffer.len() + 1;
            fill(stream, buffer, more).await?;
            continue;
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let chunk = end + 2 + size + 2;
        fill(stream, buffer, chunk).await?;
        buffer.drain(..chunk);
        if size == 0 {
            return Some(all);
        }
        all += size;
    }
}

/// Reads until the buffer holds so many bytes.
async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>, size: usize) -> Option<()> {
    while buffer.len() < size {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    Some(())
}

/// A header field of a head.
pub fn field(head: &str, name: &str) -> Option<String> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}
