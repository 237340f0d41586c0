//! Callers that check each answer.

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

/// Longest time to wait for bytes of an answer: the route's timeout and a little more.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Every so many-th request is an order.
const ORDER_EACH: u64 = 4;
/// Every so many-th turn sends several reads at once.
const PIPELINE_EACH: u64 = 5;
/// Reads that are sent at once.
const PIPELINED: u64 = 3;
/// Every so many-th turn ends with the caller going away before its answer.
const LEAVE_EACH: u64 = 23;

/// What callers share.
pub(crate) struct Target {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) stop: AtomicBool,
    /// Whether every request must succeed.
    pub(crate) is_calm: AtomicBool,
    /// Requests sent while calm.
    pub(crate) calm_requests: AtomicU64,
    /// How often each daemon was started.
    pub(crate) starts: Vec<Arc<AtomicU64>>,
    /// Newest configuration that the store has acknowledged.
    pub(crate) published: AtomicU64,
}

struct Answer {
    status: u16,
    head: String,
    body: String,
}

struct Connection {
    stream: TcpStream,
    unread: String,
}

/// Sends requests until told to stop.
pub(crate) fn run(target: &Target, number: u64) {
    let mut rng = fastrand::Rng::with_seed(number);
    let mut connection = None;
    let mut serial = 0;
    let mut turn = 0;
    while !target.stop.load(Ordering::Relaxed) {
        turn += 1;
        let count = if turn % PIPELINE_EACH == 0 { PIPELINED } else { 1 };
        let method = if count == 1 && turn % ORDER_EACH == 0 { "POST" } else { "GET" };
        let ids: Vec<_> =
            (0..count).map(|it| format!("{method}-{number}-{}", serial + it)).collect();
        serial += count;
        // A connection is used until it breaks, also while its daemon ends.
        let open = connection.take().map_or_else(|| connect(target, &mut rng), Ok);
        if let Ok(mut it) = open
            && serve(target, &mut it, &ids, turn % LEAVE_EACH == 0)
        {
            connection = Some(it);
        }
        std::thread::sleep(PAUSE);
    }
}

/// Sends requests over a connection and checks their answers; true if it can be used on.
fn serve(target: &Target, connection: &mut Connection, ids: &[String], leaves: bool) -> bool {
    let is_calm = target.is_calm.load(Ordering::Relaxed);
    let path = if ids[0].starts_with("POST") { "/order/1" } else { "/read/1" };
    let request = |id: &String| config::request(&id[..id.find('-').unwrap_or(0)], path, id, false);
    let text: String = ids.iter().map(request).collect();
    for _ in ids {
        target.ledger.sent(Instant::now());
    }
    if is_calm {
        target.calm_requests.fetch_add(ids.len() as u64, Ordering::Relaxed);
    }
    let mut is_open = connection.stream.write_all(text.as_bytes()).is_ok();
    if leaves {
        return false;
    }
    for id in ids {
        let answer =
            if is_open { connection.read() } else { Err(io::ErrorKind::NotConnected.into()) };
        if let Ok(it) = answer {
            check(target, id, &it, is_calm);
            is_open = !it.head.to_ascii_lowercase().contains("connection: close");
        } else {
            is_open = false;
            target.ledger.answered(id, 0);
            // A daemon that ends closes connections whose next request it hasn't read.
            if is_calm && target.is_calm.load(Ordering::Relaxed) {
                target.ledger.cut(id);
            }
        }
    }
    is_open
}

fn check(target: &Target, id: &str, answer: &Answer, is_calm: bool) {
    let ledger = &target.ledger;
    ledger.answered(id, answer.status);
    let is_success = (200..300).contains(&answer.status);
    if is_success && !answer.body.ends_with(&format!(" to {id}")) {
        ledger.find(format!("{id} got the body \"{}\"", answer.body));
    }
    if is_success && !answer.head.contains(config::SIGNATURE) {
        ledger.find(format!("{id} got a success without a signature"));
    }
    if matches!(answer.status, 300..=399 | 400 | 401 | 403 | 404) {
        ledger.find(format!("{id} got {} though its route is always there", answer.status));
    }
    if is_calm && target.is_calm.load(Ordering::Relaxed) && !is_success {
        ledger.find(format!("{id} got {} in a calm time", answer.status));
    }
}

fn connect(target: &Target, rng: &mut fastrand::Rng) -> io::Result<Connection> {
    let address = target.addresses[rng.usize(..target.addresses.len())];
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(Connection { stream, unread: String::new() })
}

impl Connection {
    /// The next answer.
    fn read(&mut self) -> io::Result<Answer> {
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
            // Whatever is no text is no answer of the stand-ins either.
            let text = std::str::from_utf8(&buffer[..count]).map_err(io::Error::other)?;
            self.unread.push_str(text);
        }
    }
}

/// The answer at the front of `text`, and its length; none if it isn't whole yet.
fn parse(text: &str) -> Option<(Answer, usize)> {
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|it| it.strip_prefix("Content-Length: "))?;
    let body = rest.get(..length.parse().ok()?)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let answer = Answer { status, head: head.to_owned(), body: body.to_owned() };
    Some((answer, head.len() + 4 + body.len()))
}
