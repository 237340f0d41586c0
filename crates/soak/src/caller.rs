//! Simulated callers that check each answer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use platform_standin::config;

use crate::ledger::Ledger;

/// Time-out for reading an answer. Slightly longer than the route's time-out.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two rounds of a caller.
const ROUND_PAUSE: Duration = Duration::from_millis(15);
/// One in this many rounds sends an order.
const ORDER_EVERY: u64 = 4;
/// One in this many rounds pipelines several reads.
const PIPELINE_EVERY: u64 = 5;
/// Number of reads that are pipelined.
const PIPELINE_LENGTH: u64 = 3;
/// One in this many rounds ends with a disconnect before the answer is read.
const DISCONNECT_EVERY: u64 = 23;

/// State that callers, watchers and the fault injector share.
pub(crate) struct Context {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) stop: AtomicBool,
    /// Whether no fault is active, so that every request must succeed.
    pub(crate) is_fault_free: AtomicBool,
    /// Requests sent while no fault was active.
    pub(crate) fault_free_requests: AtomicU64,
    /// Number of starts of each daemon.
    pub(crate) starts: Vec<Arc<AtomicU64>>,
    /// Version of the newest configuration that the store has acknowledged.
    pub(crate) published: AtomicU64,
}

/// An answer of a daemon.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// A connection to a daemon.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    unread: String,
}

/// Sends requests until `stop` is set.
pub(crate) fn run(context: &Context, number: u64) {
    let mut rng = fastrand::Rng::with_seed(number);
    let mut connection = None;
    let mut serial = 0;
    let mut round = 0;
    while !context.stop.load(Ordering::Relaxed) {
        round += 1;
        let count = if round % PIPELINE_EVERY == 0 { PIPELINE_LENGTH } else { 1 };
        let method = if count == 1 && round % ORDER_EVERY == 0 { "POST" } else { "GET" };
        let ids: Vec<_> =
            (0..count).map(|it| format!("{method}-{number}-{}", serial + it)).collect();
        serial += count;
        // Keeps a connection until it breaks, even while the daemon is stopping.
        let open = connection.take().map_or_else(|| connect(context, &mut rng), Ok);
        if let Ok(mut it) = open
            && serve(context, &mut it, &ids, round % DISCONNECT_EVERY == 0)
        {
            connection = Some(it);
        }
        std::thread::sleep(ROUND_PAUSE);
    }
}

/// Sends requests over a connection and checks their answers. Returns whether the connection is
/// still usable.
fn serve(
    context: &Context,
    connection: &mut Connection,
    ids: &[String],
    disconnects: bool,
) -> bool {
    let is_fault_free = context.is_fault_free.load(Ordering::Relaxed);
    let path = if ids[0].starts_with("POST") { "/order/1" } else { "/read/1" };
    let request = |id: &String| config::request(&id[..id.find('-').unwrap_or(0)], path, id, false);
    let text: String = ids.iter().map(request).collect();
    for _ in ids {
        context.ledger.record_request(Instant::now());
    }
    if is_fault_free {
        context.fault_free_requests.fetch_add(ids.len() as u64, Ordering::Relaxed);
    }
    let mut is_open = connection.stream.write_all(text.as_bytes()).is_ok();
    if disconnects {
        return false;
    }
    for id in ids {
        let answer =
            if is_open { connection.read() } else { Err(io::ErrorKind::NotConnected.into()) };
        if let Ok(it) = answer {
            check(context, id, &it, is_fault_free && !it.is_leaving());
            if it.is_leaving() {
                resend(context, path, id, is_fault_free);
            }
            is_open = !it.is_last();
        } else {
            is_open = false;
            context.ledger.record_answer(id, 0);
            // A stopping daemon may close a connection without reading the next request. The ledger
            // reports the break only if an upstream received the request.
            if is_fault_free && context.is_fault_free.load(Ordering::Relaxed) {
                context.ledger.record_broken(id);
            }
        }
    }
    is_open
}

/// Sends a request again that a leaving daemon has refused: another daemon must serve it.
fn resend(context: &Context, path: &str, id: &str, is_fault_free: bool) {
    for (number, address) in context.addresses.iter().enumerate() {
        let id = format!("{id}-again-{number}");
        let text = config::request(&id[..id.find('-').unwrap_or(0)], path, &id, true);
        context.ledger.record_request(Instant::now());
        let answer = connect_to(*address).and_then(|mut it| {
            it.stream.write_all(text.as_bytes())?;
            it.read()
        });
        // The leaving daemon refuses again or has closed its port.
        if let Ok(it) = answer
            && !it.is_leaving()
        {
            check(context, &id, &it, is_fault_free);
            return;
        }
    }
    if is_fault_free && context.is_fault_free.load(Ordering::Relaxed) {
        context.ledger.add_finding(format!("{id} was served by no daemon in a calm time"));
    }
}

/// Checks an answer and records it.
pub(crate) fn check(context: &Context, id: &str, answer: &Answer, is_fault_free: bool) {
    let ledger = &context.ledger;
    ledger.record_answer(id, answer.status);
    let is_success = (200..300).contains(&answer.status);
    if is_success && !answer.body.ends_with(&format!(" to {id}")) {
        ledger.add_finding(format!("{id} got the body \"{}\"", answer.body));
    }
    if is_success && !answer.head.contains(config::SIGNATURE) {
        ledger.add_finding(format!("{id} got a success without a signature"));
    }
    if matches!(answer.status, 300..=399 | 400 | 401 | 403 | 404) {
        ledger.add_finding(format!("{id} got {} though its route is always there", answer.status));
    }
    if is_fault_free && context.is_fault_free.load(Ordering::Relaxed) && !is_success {
        ledger.add_finding(format!("{id} got {} in a calm time", answer.status));
    }
}

/// Opens a connection to a random daemon.
pub(crate) fn connect(context: &Context, rng: &mut fastrand::Rng) -> io::Result<Connection> {
    connect_to(context.addresses[rng.usize(..context.addresses.len())])
}

fn connect_to(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(Connection { stream, unread: String::new() })
}

impl Answer {
    /// Whether a leaving daemon has refused the request.
    fn is_leaving(&self) -> bool {
        self.status == 503 && self.is_last() && self.body.contains("this entry host is leaving")
    }

    /// Whether the daemon closes the connection after it.
    pub(crate) fn is_last(&self) -> bool {
        self.head.to_ascii_lowercase().contains("connection: close")
    }
}

impl Connection {
    /// Reads the next answer.
    pub(crate) fn read(&mut self) -> io::Result<Answer> {
        let mut buffer = [0; 4096];
        loop {
            if let Some((answer, length)) = parse(&self.unread) {
                self.unread.drain(..length);
                return Ok(answer);
            }
            let count = self.stream.read(&mut buffer)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            // Answers of the simulated upstreams are always UTF-8.
            let text = std::str::from_utf8(&buffer[..count]).map_err(io::Error::other)?;
            self.unread.push_str(text);
        }
    }
}

/// Parses the answer at the start of `text` and returns it with its length, or `None` if it is
/// incomplete.
pub(crate) fn parse(text: &str) -> Option<(Answer, usize)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|it| it.strip_prefix("Content-Length: "))?;
    let body = rest.get(..length.parse().ok()?)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let answer = Answer { status, head: head.to_owned(), body: body.to_owned() };
    Some((answer, head.len() + 4 + body.len()))
}
