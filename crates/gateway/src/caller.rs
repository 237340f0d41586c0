//! Connections of callers.
//!
//! Requests are read ahead and worked on at the same time, as far as running them twice does no
//! harm; answers go out in the order of the requests. A caller that closes its connection is noticed
//! at once, also while its requests are in work, and they are cancelled.

mod held;
mod listener;
mod port;

use std::{
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use futures_util::{StreamExt, stream::FuturesOrdered};
use held::Held;
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
};

/// Requests of one connection that are in work at the same time.
const MAX_PIPELINED: usize = 32;
/// Bytes that wait in the buffer at most; those of a body are taken out of it as they come.
const READ_AHEAD_BYTES: usize = 256 << 10;
/// Longest time to send an answer to a caller that doesn't read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a caller to read the last answer before its connection is closed for good.
const LINGER: Duration = Duration::from_millis(500);
/// Idle time after which a leaving daemon closes a connection.
const LEAVING_IDLE: Duration = Duration::from_millis(1_200);
/// Advice to a caller whose body finds no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// How often idle connections look whether the daemon leaves.
const IDLE_LOOK: Duration = Duration::from_secs(1);

type Pending = Pin<Box<dyn Future<Output = Reply>>>;

/// Why a connection ends.
enum End {
    /// The caller has closed it, or it broke.
    Gone,
    /// It ends behind the last answer.
    Finished,
}

/// One connection of a caller.
struct Connection {
    gateway: Rc<Gateway>,
    port: Port,
    stream: TcpStream,
    buffer: BytesMut,
    reader: Reader,
    pending: FuturesOrdered<Pending>,
    /// Whether a request in work must not be overtaken.
    is_exclusive: bool,
    /// When the present request began, or the connection became idle.
    since: Instant,
    /// Whether no further request is taken; what else comes is passed over.
    is_closing: bool,
}

/// Serves one connection to its end.
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
    if let End::Finished = connection.run().await {
        connection.linger().await;
    }
}

impl Connection {
    async fn run(&mut self) -> End {
        loop {
            let limits = self.gateway.limits();
            self.accept(&limits);
            let wake = self.wake_at(&limits);
            // A closing connection is still read, since its end tells that the caller has gone.
            let may_read = self.buffer.len() < READ_AHEAD_BYTES;
            tokio::select! {
                biased;
                Some(reply) = self.pending.next(), if !self.pending.is_empty() => {
                    if let Err(end) = self.send(reply).await {
                        return end;
                    }
                }
                res = self.stream.read_buf(&mut self.buffer), if may_read => match res {
                    Ok(0) | Err(_) => return End::Gone,
                    Ok(_) if self.is_closing => self.buffer.clear(),
                    Ok(_) if self.pending.is_empty() && self.is_between() => {
                        self.since = self.gateway.now();
                    }
                    Ok(_) => {}
                },
                () = tokio::time::sleep_until(wake.into()) => {
                    if let Some(end) = self.time_out(&limits) {
                        return end;
                    }
                }
            }
        }
    }

    /// Starts work on the requests that have arrived whole.
    fn accept(&mut self, limits: &Limits) {
        while !self.is_closing && !self.is_exclusive && self.pending.len() < MAX_PIPELINED {
            if self.buffer.is_empty() {
                return;
            }
            let body_limit = limits.body_bytes.min(self.gateway.settings().body_memory_bytes());
            match self.reader.next(&mut self.buffer, limits.head_bytes, body_limit) {
                Ok(Some(it)) => self.begin(it),
                Ok(None) => return,
                Err(e) => {
                    // What follows can't be told apart, so this is the last answer.
                    self.close_behind();
                    let reply = broken(&e);
                    self.pending.push_back(Box::pin(async { reply }));
                }
            }
        }
    }

    fn begin(&mut self, message: Message) {
        let received = self.gateway.now();
        self.since = received;
        let closes_connection = !message.head.keeps_connection();
        let is_safe = matches!(&*message.head.method, b"GET" | b"HEAD" | b"OPTIONS");
        self.is_exclusive = !is_safe;
        if closes_connection {
            self.close_behind();
        }
        let Some(held) = Held::take(&self.gateway, message.body.len()) else {
            let reply = Reply { closes_connection, ..no_memory() };
            self.pending.push_back(Box::pin(async { reply }));
            return;
        };
        let answer = self.port.answer(Rc::clone(&self.gateway), message, received);
        self.pending.push_back(Box::pin(async move {
            let mut reply = answer.await;
            drop(held);
            reply.closes_connection |= closes_connection;
            reply
        }));
    }

    /// Takes no request behind those that were begun.
    fn close_behind(&mut self) {
        self.is_closing = true;
        self.buffer.clear();
    }

    async fn send(&mut self, reply: Reply) -> Result<(), End> {
        if self.pending.is_empty() {
            self.is_exclusive = false;
            self.accept(&self.gateway.limits());
        }
        let is_leaving = self.gateway.phase.get() == Phase::Leaving;
        let is_last = reply.closes_connection || is_leaving && self.pending.is_empty();
        let bytes = reply.bytes(is_last);
        let writing = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&bytes));
        if !matches!(writing.await, Ok(Ok(()))) {
            return Err(End::Gone);
        }
        self.since = self.gateway.now();
        if is_last { Err(End::Finished) } else { Ok(()) }
    }

    /// Whether no request has begun.
    fn is_between(&self) -> bool {
        self.reader.partial().is_none()
    }

    fn wake_at(&self, limits: &Limits) -> Instant {
        if !self.pending.is_empty() {
            return self.gateway.now() + limits.idle_timeout;
        }
        if !self.buffer.is_empty() && self.is_between() {
            return self.since + limits.head_timeout;
        }
        if !self.is_between() {
            return self.since + limits.idle_timeout;
        }
        (self.since + limits.idle_timeout).min(self.gateway.now() + IDLE_LOOK)
    }

    fn time_out(&mut self, limits: &Limits) -> Option<End> {
        if !self.pending.is_empty() {
            return None;
        }
        let idle = self.gateway.now().saturating_duration_since(self.since);
        let has_begun = !self.buffer.is_empty() || !self.is_between();
        if has_begun {
            let limit = if self.is_between() { limits.head_timeout } else { limits.idle_timeout };
            if idle >= limit {
                self.close_behind();
                let reply = too_slow();
                self.pending.push_back(Box::pin(async { reply }));
            }
            return None;
        }
        let leaves = self.gateway.phase.get() == Phase::Leaving && idle >= LEAVING_IDLE;
        (leaves || idle >= limits.idle_timeout).then_some(End::Finished)
    }

    /// Lets the caller read the last answer: closing with bytes unread would take it away.
    async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut unread = [0; 4096];
            while self.stream.read(&mut unread).await.is_ok_and(|it| it > 0) {}
        };
        // Whoever doesn't close by then has had time to read.
        let _elapsed = tokio::time::timeout(LINGER, drain).await;
    }
}

fn broken(e: &http::Error) -> Reply {
    let (status, reason) = match e {
        http::Error::HeadTooLarge(_) => (431, "head-too-large"),
        http::Error::BodyTooLarge(_) => (413, "body-too-large"),
        http::Error::Malformed(_) | http::Error::Framing(_) => (400, "bad-request"),
    };
    last(Refusal { status, reason, message: e.to_string(), retry_after: None })
}

fn too_slow() -> Reply {
    let message = "the request was not whole in time".to_owned();
    last(Refusal { status: 408, reason: "slow-caller", message, retry_after: None })
}

fn no_memory() -> Reply {
    let message = "the bodies of other requests hold the memory for bodies".to_owned();
    refuse(Refusal::not_run("body-memory", message, MEMORY_RETRY_AFTER))
}

fn last(refusal: Refusal) -> Reply {
    Reply { closes_connection: true, ..refuse(refusal) }
}

fn refuse(refusal: Refusal) -> Reply {
    log::info!(
        target: "request",
        "event=request-refused status={} reason={}", refusal.status, refusal.reason
    );
    Reply::refuse(refusal, None)
}
