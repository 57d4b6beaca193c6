//! Stand-in of a caller.

use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// A request of a caller.
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Id of the attempt.
    pub id: &'a str,
    /// Time that the caller waits.
    pub wait: Duration,
    /// The body.
    pub body: &'a [u8],
}

/// Host of all requests.
pub const HOST: &str = "site.example";

/// Sends a request on a new connection and waits for the response.
///
/// # Errors
///
/// If there is no complete response in time.
pub fn send(to: SocketAddr, request: &Request<'_>) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(request.wait + Duration::from_secs(1)))?;
    let start = format!("{} {} HTTP/1.1", request.method, request.path);
    let wait = request.wait.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("X-Wisteriabarrow-Request-Id", request.id),
        ("X-Wisteriabarrow-Deadline-Ms", &wait),
    ];
    http::write(&mut stream, &start, &headers, request.body)?;
    http::read_response(&mut BufReader::new(stream))
}

/// Asks an address for a path, as the platform and callers do. Returns the status and the body.
///
/// # Errors
///
/// If there is no complete response in time.
pub fn ask(to: SocketAddr, path: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let start = format!("GET {path} HTTP/1.1");
    http::write(&mut stream, &start, &[("Host", "machine")], b"")?;
    http::read_response(&mut BufReader::new(stream))
}
