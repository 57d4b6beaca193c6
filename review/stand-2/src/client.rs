//! Clients that speak the published protocol.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Head.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header of the answer.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let mut fields = lines.filter_map(|line| line.split_once(':'));
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// Reads an answer. `buffer` keeps what follows it.
pub async fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Answer> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
            let status = status.ok_or_else(|| io::Error::other("no status"))?;
            buffer.drain(..end + 4);
            let mut answer = Answer {
                status,
                head,
                body: Vec::new(),
            };
            if answer.header("transfer-encoding").is_some() {
                answer.body = read_chunks(stream, buffer).await?;
            } else {
                let length = answer.header("content-length");
                let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
                while buffer.len() < length {
                    fill(stream, buffer).await?;
                }
                answer.body = buffer.drain(..length).collect();
            }
            return Ok(answer);
        }
        fill(stream, buffer).await?;
    }
}

async fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let Some(end) = find(buffer, b"\r\n") else {
            fill(stream, buffer).await?;
            continue;
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        while buffer.len() < end + 2 + size + 2 {
            fill(stream, buffer).await?;
        }
        body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    if stream.read_buf(buffer).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// Status of the answer to a call without a body; `None` if there is none.
pub async fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        read_answer(&mut stream, &mut Vec::new()).await
    };
    let result = tokio::time::timeout(Duration::from_secs(1), exchange).await;
    Some(result.ok()?.ok()?.status)
}
