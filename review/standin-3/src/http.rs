//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |it: &&(String, String)| it.0.eq_ignore_ascii_case(name);
        self.headers.iter().find(named).map(|it| it.1.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').filter_map(|it| it.split_once('=')).find(|it| it.0 == name).map(|it| it.1)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
    }
}

/// Reads one message with a length, or without a body; `None` at the end of the connection.
pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(it) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            break it + 4;
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, it)| (name.to_owned(), it.trim().to_owned())).collect();
    let mut res = Message { start, headers, body: Vec::new() };
    let length = res.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    res.body = buffer.drain(..length).collect();
    Ok(Some(res))
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = [0; 16 << 10];
    let count = stream.read(&mut bytes)?;
    buffer.extend(&bytes[..count]);
    Ok(count > 0)
}

/// Serializes an answer with its length.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Serves each connection to `listener` on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Sends one request on a connection of its own. Returns the answer, or what happened instead.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> Result<Message, String> {
    let started = Instant::now();
    let fail = |what: &str, e: io::Error| format!("{what} after {:?}: {e}", started.elapsed());
    let mut stream =
        TcpStream::connect_timeout(&address, timeout).map_err(|e| fail("no connection", e))?;
    stream.set_read_timeout(Some(timeout)).map_err(|e| fail("no timeout", e))?;
    stream.write_all(request.as_bytes()).map_err(|e| fail("not sent", e))?;
    match read(&mut stream, &mut Vec::new()) {
        Ok(Some(it)) => Ok(it),
        Ok(None) => Err(format!("connection closed after {:?}", started.elapsed())),
        Err(e) => Err(fail("no answer", e)),
    }
}
