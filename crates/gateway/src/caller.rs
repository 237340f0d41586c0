//! Connections of callers.
//!
//! Requests without side effects are read ahead and processed concurrently; answers are sent in the
//! order of the requests. If a caller closes its connection, this is detected immediately, also
//! while its requests are in progress, and they are cancelled.

mod listener;
mod port;
mod shed;
mod unread;

use std::{
    collections::VecDeque,
    io,
    net::IpAddr,
    pin::Pin,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::{Buf, BytesMut};
use futures_util::{StreamExt, stream::FuturesOrdered};
pub use listener::{bind, listen};
pub use port::Port;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    config::{Limits, Table},
    gateway::Gateway,
    http::{self, Body, Message, Reader},
    memory::{Charge, Holder, Kind, Stage},
    peer::Phase,
    request::{Refusal, Reply},
    socket,
};

/// Maximum number of requests of one connection in progress.
const MAX_PIPELINED: usize = 32;
/// Buffer size from which nothing more is read ahead; bytes of a body leave the buffer as they
/// arrive.
const MAX_READ_AHEAD_BYTES: usize = 256 << 10;
/// Period in which a caller must take some of its answer, and the least number of bytes. Five hundred
/// callers that share 10 Mbit/s take 25 kB each in this time.
const WRITE_PERIOD: Duration = Duration::from_secs(10);
const MIN_WRITTEN_BYTES: usize = 4 << 10;
/// Size of waiting answers from which no further request of a connection starts, in bytes.
const MAX_UNSENT_BYTES: usize = 256 << 10;
/// Bytes counted for a connection, and for a request in progress: state and buffers of fixed size.
const CONNECTION_BYTES: usize = 12 << 10;
const REQUEST_BYTES: usize = 8 << 10;
/// Bytes that one read may add, for a head and for a body.
const HEAD_STEP_BYTES: usize = 4 << 10;
const BODY_STEP_BYTES: usize = 96 << 10;
/// Interval at which a connection that waits for memory tries again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time without progress after which a body gives its place up while half of the memory is in use.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
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
    /// Answers that were complete while another one was written.
    ready: VecDeque<Reply>,
    holder: Rc<Holder>,
    charge: Charge,
    /// Whether no further request may start before the last one has been answered.
    is_exclusive: bool,
    /// When the current request began, or the connection became idle.
    since: Instant,
    /// Configuration in force when the first bytes in the buffer, or of the current request, arrived.
    table_before: Option<Rc<Table>>,
    /// Whether the connection closes after the pending answers; further bytes are discarded.
    is_closing: bool,
}

/// Serves a connection until it is closed.
pub async fn serve(gateway: Rc<Gateway>, port: Port, stream: TcpStream, caller: IpAddr) {
    let since = gateway.now();
    let account = gateway.memory.account().clone();
    let holder = gateway.memory.register(caller, port as usize, since);
    let charge = account.charge(Kind::Connections);
    let mut connection = Connection {
        gateway,
        port,
        stream,
        buffer: BytesMut::new(),
        reader: Reader::new(account),
        pending: FuturesOrdered::new(),
        ready: VecDeque::new(),
        holder,
        charge,
        is_exclusive: false,
        since,
        table_before: None,
        is_closing: false,
    };
    if let Close::Finished = connection.run().await {
        socket::linger(connection.into_stream()).await;
    }
}

/// Reads what has arrived. A connection without any has no buffer.
async fn read(stream: &mut TcpStream, buffer: &mut BytesMut, is_body: bool) -> io::Result<usize> {
    stream.readable().await?;
    http::reserve(buffer, is_body);
    stream.read_buf(buffer).await
}

impl Connection {
    /// The socket; all that is held besides is given up.
    fn into_stream(self) -> TcpStream {
        self.stream
    }

    async fn run(&mut self) -> Close {
        loop {
            if self.holder.is_evicted()
                && let Some(close) = self.give_up()
            {
                return close;
            }
            let limits = self.gateway.limits();
            self.start_requests(&limits);
            if let Some(reply) = self.ready.pop_front() {
                if let Err(close) = self.send(reply).await {
                    return close;
                }
                continue;
            }
            self.count();
            // A closing connection is still read, in order to detect that the caller has closed it.
            let is_full = self.buffer.len() >= MAX_READ_AHEAD_BYTES;
            let waits_for_memory = !is_full && !self.is_closing && !self.may_grow();
            let may_read = !is_full && !waits_for_memory;
            let mut wake = self.wake_at(&limits);
            if waits_for_memory {
                wake = wake.min(self.gateway.now() + MEMORY_RETRY_INTERVAL);
            }
            let is_body = !self.is_between_requests();
            let had_bytes = !self.buffer.is_empty();
            tokio::select! {
                biased;
                Some(reply) = self.pending.next(), if !self.pending.is_empty() => {
                    if let Err(close) = self.send(reply).await {
                        return close;
                    }
                }
                res = read(&mut self.stream, &mut self.buffer, is_body), if may_read => match res {
                    Ok(0) | Err(_) => return Close::Disconnected,
                    Ok(_) if self.is_closing => self.buffer.clear(),
                    Ok(bytes) => {
                        let now = self.gateway.now();
                        if !is_body && !had_bytes {
                            self.table_before = self.gateway.table();
                        }
                        if self.pending.is_empty() && !is_body && !had_bytes {
                            self.since = now;
                            self.holder.restart(now);
                        }
                        self.holder.record(now, bytes);
                    }
                },
                () = self.holder.evicted() => {}
                () = self.gateway.stop.requests_ended(), if self.is_reading_request() => {
                    self.end_with(unread::refuse(&self.gateway, Refusal::leaving()));
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
        while !self.is_closing && !self.is_exclusive && self.may_start() {
            if self.is_leaving() && !self.pending.is_empty() {
                self.stop_accepting();
            }
            if self.buffer.is_empty() {
                return;
            }
            match self.reader.next(&mut self.buffer, limits.head_bytes, limits.body_bytes) {
                Ok(Some(it)) => self.start(it),
                Ok(None) => {
                    let missing = self.reader.partial().and_then(Body::rest);
                    // The caller may try another host, which may have more memory.
                    if missing.is_some_and(|it| it > self.gateway.memory.max_bytes()) {
                        self.refuse_body();
                    }
                    return;
                }
                // Without valid framing, no further request can be read.
                Err(e) => {
                    let gateway = Rc::clone(&self.gateway);
                    self.end_after(async move { unread::answer(&gateway, e).await });
                }
            }
        }
    }

    fn start(&mut self, message: Message) {
        let received = self.gateway.now();
        self.since = received;
        let mut charge = self.gateway.memory.account().charge(Kind::Heads);
        charge.resize(excess_of_head(message.head.held()));
        // Only the head's text was counted when it was read.
        if message.head.list_bytes() > REQUEST_BYTES && !self.gateway.memory.allows_head() {
            shed::record(&self.gateway, "head-memory", format_args!("bytes={}", charge.bytes()));
            let message = "the headers of other requests hold the memory for requests".to_owned();
            let refusal = Refusal::not_run("head-memory", message, MEMORY_RETRY_AFTER);
            self.end_with(unread::refuse(&self.gateway, refusal));
            return;
        }
        let closes_connection = !message.head.keeps_connection();
        let is_safe = matches!(&*message.head.method, b"GET" | b"HEAD" | b"OPTIONS");
        self.is_exclusive = !is_safe;
        if closes_connection {
            self.stop_accepting();
        }
        let table_before = self.table_before.clone();
        let answer = self.port.answer(Rc::clone(&self.gateway), message, received, table_before);
        let holder = Rc::clone(&self.holder);
        self.pending.push_back(Box::pin(async move {
            let mut reply = answer.await;
            drop(charge);
            holder.unsent.set(holder.unsent.get() + reply.message.body.len());
            reply.closes_connection |= closes_connection;
            reply
        }));
    }

    /// Whether a further request may start. While memory is short, or answers wait to be written, a
    /// connection has one request in progress.
    fn may_start(&self) -> bool {
        let in_progress = self.pending.len() + self.ready.len();
        let is_slow = self.holder.unsent.get() >= MAX_UNSENT_BYTES;
        in_progress == 0
            || in_progress < MAX_PIPELINED && !is_slow && !self.gateway.memory.is_exceeded()
    }

    /// Counts what the connection holds.
    fn count(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 0 {
            self.buffer = BytesMut::new();
        }
        let requests = self.pending.len() + self.ready.len();
        let body = self.reader.partial();
        let mut bytes = CONNECTION_BYTES + requests * REQUEST_BYTES + self.buffer.capacity();
        if body.is_some() {
            bytes += self.gateway.receive_buffer_bytes;
            bytes += excess_of_head(self.reader.held_by_head());
        }
        self.charge.resize(bytes);
        let holder = &self.holder;
        holder.bytes.set(bytes + body.map_or(0, Body::held) + holder.unsent.get());
        holder.rest.set(body.and_then(Body::rest));
        holder.stage.set(if body.is_some() {
            Stage::Reading
        } else if requests > 0 {
            Stage::Working
        } else if self.buffer.is_empty() {
            Stage::Idle
        } else {
            Stage::Reading
        });
    }

    /// Whether there is memory for what the next read may add. If not, others give some up.
    fn may_grow(&self) -> bool {
        let Self { gateway, holder, .. } = self;
        let memory = &gateway.memory;
        let is_body = !self.is_between_requests();
        let step = if is_body { BODY_STEP_BYTES } else { HEAD_STEP_BYTES };
        let held = holder.bytes.get();
        if memory.allows(held, step) {
            return true;
        }
        let now = gateway.now();
        if is_body && held + step > memory.max_bytes() {
            holder.evict();
        } else {
            let excess = (memory.used() + step).saturating_sub(memory.max_bytes());
            memory.relieve(now, excess, Some(holder));
        }
        holder.hold(now);
        // The first bytes of a request are read in any case.
        !is_body && self.buffer.is_empty()
    }

    /// Gives up what the connection holds, since memory or descriptors run short.
    fn give_up(&mut self) -> Option<Close> {
        self.count();
        self.holder.reset();
        match self.holder.stage.get() {
            Stage::Idle => {
                shed::record(&self.gateway, "idle-connection", format_args!(""));
                Some(Close::Disconnected)
            }
            Stage::Reading if !self.is_closing => {
                self.refuse_body();
                None
            }
            _ => None,
        }
    }

    /// Refuses the request that is being read.
    fn refuse_body(&mut self) {
        let bytes = self.holder.bytes.get();
        shed::record(&self.gateway, "body-memory", format_args!("bytes={bytes}"));
        self.end_with(unread::refuse(&self.gateway, unread::out_of_memory()));
    }

    /// Answers with `reply` and starts no further requests.
    fn end_with(&mut self, reply: Reply) {
        self.end_after(async { reply });
    }

    /// As [`Self::end_with`], once the reply is known.
    fn end_after(&mut self, reply: impl Future<Output = Reply> + 'static) {
        self.stop_accepting();
        self.pending.push_back(Box::pin(reply));
    }

    /// Whether a request has been received in part and none is in progress.
    fn is_reading_request(&self) -> bool {
        let has_begun = !self.buffer.is_empty() || !self.is_between_requests();
        has_begun && !self.is_closing && self.pending.is_empty()
    }

    /// Starts no further requests.
    fn stop_accepting(&mut self) {
        self.is_closing = true;
        self.buffer = BytesMut::new();
        self.reader = Reader::new(self.gateway.memory.account().clone());
    }

    async fn send(&mut self, reply: Reply) -> Result<(), Close> {
        let body_len = reply.message.body.len();
        if self.pending.is_empty() && self.ready.is_empty() {
            self.is_exclusive = false;
            if self.is_leaving() {
                self.stop_accepting();
            }
            if body_len < MAX_UNSENT_BYTES {
                self.start_requests(&self.gateway.limits());
            }
        }
        let is_last = reply.closes_connection
            || self.is_closing && self.pending.is_empty() && self.ready.is_empty();
        self.write(reply, is_last).await?;
        let unsent = &self.holder.unsent;
        unsent.set(unsent.get().saturating_sub(body_len));
        self.since = self.gateway.now();
        self.holder.restart(self.since);
        if is_last { Err(Close::Finished) } else { Ok(()) }
    }

    /// Writes an answer. The requests behind it go on meanwhile.
    async fn write(&mut self, reply: Reply, is_last: bool) -> Result<(), Close> {
        let (head, body) = reply.into_parts(is_last);
        let mut unwritten = Buf::chain(&*head, body);
        let mut period_start = self.gateway.now();
        let mut period_rest = unwritten.remaining();
        self.holder.restart(period_start);
        loop {
            tokio::select! {
                biased;
                res = self.stream.write_buf(&mut unwritten) => match res {
                    Ok(0) | Err(_) => return Err(Close::Disconnected),
                    Ok(_) if !unwritten.has_remaining() => return Ok(()),
                    Ok(bytes) => {
                        self.count();
                        self.holder.stage.set(Stage::Writing);
                        self.holder.rest.set(Some(unwritten.remaining()));
                        self.holder.record(self.gateway.now(), bytes);
                    }
                },
                Some(it) = self.pending.next(), if !self.pending.is_empty() => {
                    self.ready.push_back(it);
                }
                () = self.holder.evicted() => if self.holder.is_evicted() {
                    let bytes = self.holder.bytes.get();
                    shed::record(&self.gateway, "slow-reader", format_args!("bytes={bytes}"));
                    return Err(Close::Disconnected);
                },
                () = tokio::time::sleep_until((period_start + WRITE_PERIOD).into()) => {
                    if period_rest - unwritten.remaining() < MIN_WRITTEN_BYTES.min(period_rest) {
                        shed::record(&self.gateway, "unread-answer", format_args!("rest={period_rest}"));
                        return Err(Close::Disconnected);
                    }
                    period_start = self.gateway.now();
                    period_rest = unwritten.remaining();
                }
            }
        }
    }

    /// Whether a body makes no progress while others may need its memory.
    fn is_stalled(&self) -> bool {
        let account = self.gateway.memory.account();
        !self.is_between_requests()
            && self.holder.idle(self.gateway.now()) >= STALL_TIMEOUT
            && account.used() > account.limit() / 2
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
            let is_stalled = self.is_stalled();
            if is_stalled {
                shed::record(&self.gateway, "stalled-body", format_args!(""));
            }
            if idle >= limit || is_stalled {
                self.end_with(unread::time_out(&self.gateway));
            }
            return None;
        }
        let leaves = self.is_leaving() && idle >= LEAVING_IDLE_TIMEOUT;
        (leaves || idle >= limits.idle_timeout).then_some(Close::Finished)
    }
}

/// Bytes of a head beyond those that are counted for each request.
fn excess_of_head(held: usize) -> usize {
    held.saturating_sub(REQUEST_BYTES)
}
