//! Heads and bodies of HTTP/1.1 messages.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// Head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of the header `name`, which is in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, it)| it.as_str())
    }

    /// Declared length of the body.
    pub fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|it| it.parse().ok())
    }

    /// Status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Value of a parameter in the query of the target.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .find(|(it, _)| *it == name)
            .map(|it| it.1)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    /// Reads a head; `None` if the other side closes the connection before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let header = |it: &str| {
                    let (name, value) = it.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { line, headers: lines.filter_map(header).collect() }));
            }
            if self.fill()? == 0 {
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads exactly `count` bytes of a body.
    pub fn body(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Bytes that were read and not yet taken.
    pub fn ahead(&self) -> usize {
        self.ahead.len()
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 64 << 10];
        let count = self.stream.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..count]);
        Ok(count)
    }
}
