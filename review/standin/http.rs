//! As much of HTTP/1.1 as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head of a message: its first line and its headers in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|it| it.parse().ok())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let header = |it: &str| {
                    let (name, value) = it.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, headers: lines.filter_map(header).collect() }));
            }
            if self.fill()? == 0 {
                let is_clean = self.buffer.is_empty();
                return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads a body of `length` bytes.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    out.extend(body);
    stream.write_all(&out)
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|it| it == part)
}
