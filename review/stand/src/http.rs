//! Messages of HTTP/1.1, as the stand-ins read and write them.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header field, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Path of a request, with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what.to_owned())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(broken("line breaks off"));
    }
    let text = String::from_utf8_lossy(&line);
    Ok(Some(text.trim_end().to_owned()))
}

/// Reads the head of a message; `None` if the peer has closed the connection before it.
///
/// # Errors
///
/// If the head breaks off.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("head breaks off"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(field);
        }
    }
}

/// Reads the body of a message. Without a length, that of a response ends with its connection.
///
/// # Errors
///
/// If the body breaks off.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let line = read_line(reader)?.ok_or_else(|| broken("body breaks off"))?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| broken("no size of a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Reads a whole request; `None` if the peer has closed the connection before it.
///
/// # Errors
///
/// If the request breaks off.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Reads a whole response, which must come.
///
/// # Errors
///
/// If the response breaks off.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let head = read_head(reader)?;
    let mut message = head.ok_or_else(|| broken("closed without a response"))?;
    read_body(reader, &mut message, true)?;
    Ok(message)
}

/// Writes a message with a length.
///
/// # Errors
///
/// If the peer is gone.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
