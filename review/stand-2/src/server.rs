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

    fn begin(&self, id: &str, server: &str) -> usize {
        let mut runs = self.0.lock().expect("lock is not poisoned");
        runs.push(Run {
            id: id.to_owned(),
            server: server.to_owned(),
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
        let length = field(&head, "content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while buffer.len() < length {
            match stream.read_buf(&mut buffer).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        buffer.drain(..length);
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
        let run = runs.begin(&id, &name);
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

/// A header field of a head.
pub fn field(head: &str, name: &str) -> Option<String> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}
