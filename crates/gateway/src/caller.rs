//! Connections of callers.
//!
//! Requests without side effects are read ahead and processed concurrently; answers are sent in the
//! order of the requests. If a caller closes its connection, this is detected immediately, also
//! while its requests are in progress, and they are cancelled.

mod allocation;
mod listener;
mod port;

use std::{
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use allocation::Allocation;
use bytes::BytesMut;
use futures_util::{StreamExt, stream::FuturesOrdered};
pub use listener::{bind, listen};
pub use port::Port;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    config::Limits,
    gateway::Gateway,
    http::{self, Message, Reader},
    peer::Phase,
    request::{Refusal, Reply},
    socket,
};

/// Maximum number of requests of one connection in progress.
const MAX_PIPELINED: usize = 32;
/// Buffer size from which nothing more is read ahead; bytes of a body leave the buffer as they
/// arrive.
const MAX_READ_AHEAD_BYTES: usize = 256 << 10;
/// Timeout for sending an answer to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which a leaving daemon closes a connection.
const LEAVING_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// `Retry-After` for a request whose body exceeds the available memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Interval at which idle connections check whether the daemon is leaving.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

type Pending = Pin<Box<dyn Future<Output = Reply>>>;

/// Why a connection is closed.
enum Close {
    /// The caller has closed it, or it broke.
    Disconnected,
    /// The last answer was sent.
    Finished,
}

/// Connection of a caller.
struct Connection {
    gateway: Rc<Gateway>,
    port: Port,
    stream: TcpStream,
    buffer: BytesMut,
    reader: Reader,
    pending: FuturesOrdered<Pending>,
    /// Whether no further request may start before the last one has been answered.
    is_exclusive: bool,
    /// When the current request began, or the connection became idle.
    since: Instant,
    /// Whether the connection closes after the pending answers; further bytes are discarded.
    is_closing: bool,
}

/// Serves a connection until it is closed.
pub async fn serve(gateway: Rc<Gateway>, port: Port, stream: TcpStream) {
    let since = gateway.now();
    let mut connection = Connection {
        gateway,
        port,
        stream,
        buffer: BytesMut::new(),
        reader: Reader::default(),
        pending: FuturesOrdered::new(),
        is_exclusive: false,
        since,
        is_closing: false,
    };
    if let Close::Finished = connection.run().await {
        socket::linger(connection.stream).await;
    }
}

impl Connection {
    async fn run(&mut self) -> Close {
        loop {
            let limits = self.gateway.limits();
            self.start_requests(&limits);
            let wake = self.wake_at(&limits);
            // A closing connection is still read, in order to detect that the caller has closed it.
            let may_read = self.buffer.len() < MAX_READ_AHEAD_BYTES;
            if may_read {
                let is_body = !self.is_between_requests();
                http::reserve(&mut self.buffer, is_body);
            }
            tokio::select! {
                biased;
                Some(reply) = self.pending.next(), if !self.pending.is_empty() => {
                    if let Err(close) = self.send(reply).await {
                        return close;
                    }
                }
                res = self.stream.read_buf(&mut self.buffer), if may_read => match res {
                    Ok(0) | Err(_) => return Close::Disconnected,
                    Ok(_) if self.is_closing => self.buffer.clear(),
                    Ok(_) if self.pending.is_empty() && self.is_between_requests() => {
                        self.since = self.gateway.now();
                    }
                    Ok(_) => {}
                },
                () = self.gateway.stop.requests_ended(), if self.is_reading_request() => {
                    self.end_with(close_with(Refusal::leaving()));
                }
                () = tokio::time::sleep_until(wake.into()) => {
                    if let Some(close) = self.time_out(&limits) {
                        return close;
                    }
                }
            }
        }
    }

    /// Starts the requests that have been received completely. While the daemon leaves, those behind
    /// a request in progress are not: its answer closes the connection, so the caller sends them to
    /// another host.
    fn start_requests(&mut self, limits: &Limits) {
        while !self.is_closing && !self.is_exclusive && self.pending.len() < MAX_PIPELINED {
            if self.is_leaving() && !self.pending.is_empty() {
                self.stop_accepting();
            }
            if self.buffer.is_empty() {
                return;
            }
            let body_limit = limits.body_bytes.min(self.gateway.settings().body_memory_bytes());
            match self.reader.next(&mut self.buffer, limits.head_bytes, body_limit) {
                Ok(Some(it)) => self.start(it),
                Ok(None) => return,
                // Without valid framing, no further request can be read.
                Err(e) => self.end_with(parse_error(&e)),
            }
        }
    }

    fn start(&mut self, message: Message) {
        let received = self.gateway.now();
        self.since = received;
        let closes_connection = !message.head.keeps_connection();
        let is_safe = matches!(&*message.head.method, b"GET" | b"HEAD" | b"OPTIONS");
        self.is_exclusive = !is_safe;
        if closes_connection {
            self.stop_accepting();
        }
        let Some(allocation) = Allocation::new(&self.gateway, message.body.len()) else {
            let reply = Reply { closes_connection, ..out_of_memory() };
            self.pending.push_back(Box::pin(async { reply }));
            return;
        };
        let answer = self.port.answer(Rc::clone(&self.gateway), message, received);
        self.pending.push_back(Box::pin(async move {
            let mut reply = answer.await;
            drop(allocation);
            reply.closes_connection |= closes_connection;
            reply
        }));
    }

    /// Answers with `reply` and starts no further requests.
    fn end_with(&mut self, reply: Reply) {
        self.stop_accepting();
        self.pending.push_back(Box::pin(async { reply }));
    }

    /// Whether a request has been received in part and none is in progress.
    fn is_reading_request(&self) -> bool {
        let has_begun = !self.buffer.is_empty() || !self.is_between_requests();
        has_begun && !self.is_closing && self.pending.is_empty()
    }

    /// Starts no further requests.
    fn stop_accepting(&mut self) {
        self.is_closing = true;
        self.buffer.clear();
    }

    async fn send(&mut self, reply: Reply) -> Result<(), Close> {
        if self.pending.is_empty() {
            self.is_exclusive = false;
            if self.is_leaving() {
                self.stop_accepting();
            }
            self.start_requests(&self.gateway.limits());
        }
        let is_last = reply.closes_connection || self.is_closing && self.pending.is_empty();
        let bytes = reply.bytes(is_last);
        let writing = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes));
        if !matches!(writing.await, Ok(Ok(()))) {
            return Err(Close::Disconnected);
        }
        self.since = self.gateway.now();
        if is_last { Err(Close::Finished) } else { Ok(()) }
    }

    fn is_leaving(&self) -> bool {
        self.gateway.phase.get() == Phase::Leaving
    }

    /// Whether no request body is being read.
    fn is_between_requests(&self) -> bool {
        self.reader.partial().is_none()
    }

    /// When the connection must be checked although nothing has happened.
    fn wake_at(&self, limits: &Limits) -> Instant {
        let now = self.gateway.now();
        if !self.pending.is_empty() {
            return now + limits.idle_timeout;
        }
        let is_head = !self.buffer.is_empty() && self.is_between_requests();
        let limit = if is_head { limits.head_timeout } else { limits.idle_timeout };
        (self.since + limit).min(now + IDLE_CHECK_INTERVAL)
    }

    fn time_out(&mut self, limits: &Limits) -> Option<Close> {
        if !self.pending.is_empty() {
            return None;
        }
        let idle = self.gateway.now().saturating_duration_since(self.since);
        if self.is_reading_request() {
            let limit =
                if self.is_between_requests() { limits.head_timeout } else { limits.idle_timeout };
            if idle >= limit {
                self.end_with(request_timeout());
            }
            return None;
        }
        let leaves = self.is_leaving() && idle >= LEAVING_IDLE_TIMEOUT;
        (leaves || idle >= limits.idle_timeout).then_some(Close::Finished)
    }
}

fn parse_error(e: &http::Error) -> Reply {
    let (status, reason) = match e {
        http::Error::HeadTooLarge(_) => (431, "head-too-large"),
        http::Error::BodyTooLarge(_) => (413, "body-too-large"),
        http::Error::Malformed(_) | http::Error::Framing(_) => (400, "bad-request"),
    };
    close_with(Refusal { status, reason, message: e.to_string(), retry_after: None })
}

fn request_timeout() -> Reply {
    let message = "the request was not whole in time".to_owned();
    close_with(Refusal { status: 408, reason: "slow-caller", message, retry_after: None })
}

fn out_of_memory() -> Reply {
    let message = "the bodies of other requests hold the memory for bodies".to_owned();
    refuse(Refusal::not_run("body-memory", message, MEMORY_RETRY_AFTER))
}

fn close_with(refusal: Refusal) -> Reply {
    Reply { closes_connection: true, ..refuse(refusal) }
}

fn refuse(refusal: Refusal) -> Reply {
    log::info!(
        target: "request",
        "event=request-refused status={} reason={}", refusal.status, refusal.reason
    );
    Reply::refuse(refusal, None)
}
