//! Simulated callers that check each answer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use platform_standin::config;

use crate::{
    form::{self, Form},
    ledger::{Denial, Ledger},
    publications::Publications,
};

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

/// Pause in a request that is sent in two parts. On loopback, a daemon reads the first part by then.
const PART_PAUSE: Duration = Duration::from_millis(5);

/// State that callers, watchers and the fault injector share.
pub(crate) struct Context {
    /// Seed of the run.
    pub(crate) seed: u64,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) stop: AtomicBool,
    /// Whether no fault is active, so that every request must succeed.
    pub(crate) is_fault_free: AtomicBool,
    /// Requests sent while no fault was active.
    pub(crate) fault_free_requests: AtomicU64,
    /// Time from the signal to stop until a daemon is killed.
    pub(crate) grace: Duration,
    /// Timeout of the routes, after which an answer of the daemon itself breaks nothing off.
    pub(crate) time_limit: Duration,
    /// When each daemon received the signal to stop, while it stops.
    pub(crate) stopping: Vec<Mutex<Option<Instant>>>,
    /// Number of starts of each daemon.
    pub(crate) starts: Vec<Arc<AtomicU64>>,
    pub(crate) publications: Publications,
    /// Number of probes that have been sent.
    pub(crate) probes: AtomicUsize,
}

impl Context {
    /// Sets when a daemon received the signal to stop.
    pub(crate) fn set_stopping(&self, daemon: usize, since: Option<Instant>) {
        *self.stopping[daemon].lock().unwrap_or_else(PoisonError::into_inner) = since;
    }

    /// Time since a daemon received the signal to stop, while it stops.
    pub(crate) fn stopping_for(&self, daemon: usize) -> Option<Duration> {
        let since = *self.stopping[daemon].lock().unwrap_or_else(PoisonError::into_inner);
        since.map(|it| it.elapsed())
    }
}

/// An answer of a daemon.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// A request that is sent.
struct Request {
    id: String,
    forms: Vec<Form>,
    bytes: Vec<u8>,
}

/// A connection to a daemon.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Number of the daemon.
    pub(crate) daemon: usize,
    unread: String,
}

/// Sends requests until `stop` is set.
pub(crate) fn run(context: &Context, number: u64) {
    let mut rng = fastrand::Rng::with_seed(number);
    // Depends on the seed alone, whether or not a connection can be opened.
    let mut form_rng = fastrand::Rng::with_seed(context.seed.rotate_left(32) ^ number);
    let mut connection = None;
    let mut serial = 0;
    let mut round = 0;
    while !context.stop.load(Ordering::Relaxed) {
        round += 1;
        let count = if round % PIPELINE_EVERY == 0 { PIPELINE_LENGTH } else { 1 };
        let method = if count == 1 && round % ORDER_EVERY == 0 { "POST" } else { "GET" };
        let path = if method == "POST" { "/order/1" } else { "/read/1" };
        let request = |it| {
            let (id, forms) =
                (format!("{method}-{number}-{}", serial + it), Form::choose(&mut form_rng));
            let bytes = form::request(&forms, method, path, &id, &mut form_rng);
            Request { id, forms, bytes }
        };
        let requests: Vec<_> = (0..count).map(request).collect();
        serial += count;
        // Keeps a connection until it breaks, even while the daemon is stopping.
        let open = connection.take().map_or_else(|| connect(context, &mut rng), Ok);
        if let Ok(mut it) = open
            && serve(context, &mut it, path, &requests, round % DISCONNECT_EVERY == 0)
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
    path: &str,
    requests: &[Request],
    disconnects: bool,
) -> bool {
    let is_fault_free = context.is_fault_free.load(Ordering::Relaxed);
    let bytes: Vec<u8> = requests.iter().flat_map(|it| it.bytes.iter().copied()).collect();
    for _ in requests {
        context.ledger.record_request(Instant::now());
    }
    if is_fault_free {
        context.fault_free_requests.fetch_add(requests.len() as u64, Ordering::Relaxed);
    }
    let is_in_parts = requests.iter().any(|it| it.forms.contains(&Form::Parts));
    let (first, second) = bytes.split_at(if is_in_parts { bytes.len() / 2 } else { 0 });
    let mut is_open = connection.stream.write_all(first).is_ok();
    if is_in_parts {
        std::thread::sleep(PART_PAUSE);
    }
    is_open = is_open && connection.stream.write_all(second).is_ok();
    if disconnects {
        return false;
    }
    for Request { id, forms, .. } in requests {
        let answer =
            if is_open { connection.read() } else { Err(io::ErrorKind::NotConnected.into()) };
        if let Ok(it) = answer {
            let is_calm = is_fault_free && !it.is_leaving();
            check(context, connection.daemon, id, forms, &it, is_calm);
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
    for number in 0..context.addresses.len() {
        let id = format!("{id}-again-{number}");
        let text = config::request(&id[..id.find('-').unwrap_or(0)], path, &id, true);
        context.ledger.record_request(Instant::now());
        let answer = connect_to(context, number).and_then(|mut it| {
            it.stream.write_all(text.as_bytes())?;
            it.read()
        });
        // The leaving daemon refuses again or has closed its port.
        if let Ok(it) = answer
            && !it.is_leaving()
        {
            check(context, number, &id, &[], &it, is_fault_free);
            return;
        }
    }
    if is_fault_free && context.is_fault_free.load(Ordering::Relaxed) {
        context.ledger.add_finding(format!("{id} was served by no daemon in a calm time"));
    }
}

/// Checks an answer of a daemon to a proper request and records it.
pub(crate) fn check(
    context: &Context,
    daemon: usize,
    id: &str,
    forms: &[Form],
    answer: &Answer,
    is_fault_free: bool,
) {
    let ledger = &context.ledger;
    ledger.record_answer(id, answer.status);
    let is_success = (200..300).contains(&answer.status);
    if is_success && !answer.body.ends_with(&format!(" to {id}")) {
        ledger.add_finding(format!("{id} got the body \"{}\"", answer.body));
    }
    let is_signed = answer.head.contains(config::SIGNATURE);
    if is_success && !is_signed {
        ledger.add_finding(format!("{id} got a success without a signature"));
    }
    if is_success {
        ledger.record_served(forms);
    }
    // The others promise that the request has not run.
    let is_denial = matches!(answer.status, 300..=499) && !matches!(answer.status, 408 | 421 | 429);
    if is_denial {
        let (forms, status) = (forms.to_vec(), answer.status);
        ledger.record_denial(id, Denial { forms, status, daemon, is_signed });
    }
    // A denial without a signature is a finding in any case.
    let is_success_or_finding = is_success || is_denial && !is_signed;
    if is_fault_free && context.is_fault_free.load(Ordering::Relaxed) && !is_success_or_finding {
        ledger.add_finding(format!(
            "{id} of the form {forms:?} got {} in a calm time",
            answer.status
        ));
    }
}

/// Opens a connection to a random daemon.
pub(crate) fn connect(context: &Context, rng: &mut fastrand::Rng) -> io::Result<Connection> {
    connect_to(context, rng.usize(..context.addresses.len()))
}

/// Opens a connection to a daemon.
pub(crate) fn connect_to(context: &Context, daemon: usize) -> io::Result<Connection> {
    let stream =
        TcpStream::connect_timeout(&context.addresses[daemon], Duration::from_millis(500))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(Connection { stream, daemon, unread: String::new() })
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
    if head.starts_with("HTTP/1.1 1") {
        // An interim answer, such as to `Expect: 100-continue`.
        return parse(rest).map(|(it, length)| (it, head.len() + 4 + length));
    }
    let length = head.lines().find_map(|it| it.strip_prefix("Content-Length: "))?;
    let body = rest.get(..length.parse().ok()?)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let answer = Answer { status, head: head.to_owned(), body: body.to_owned() };
    Some((answer, head.len() + 4 + body.len()))
}
