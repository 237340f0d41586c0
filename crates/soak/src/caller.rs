//! Callers that check each answer.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use platform_standin::config;

use crate::ledger::Ledger;

/// Longest time to wait for bytes of an answer: the route's timeout and a little more.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// Every so many-th request is an order.
const ORDER_EACH: u64 = 4;

/// What callers share.
pub(crate) struct Target {
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) stop: AtomicBool,
    /// Whether every request must succeed.
    pub(crate) is_calm: AtomicBool,
    /// Requests sent while calm.
    pub(crate) calm_requests: AtomicU64,
}

struct Answer {
    status: u16,
    head: String,
    body: String,
}

/// Sends requests until told to stop.
pub(crate) fn run(target: &Target, number: u64) {
    let mut rng = fastrand::Rng::with_seed(number);
    let mut connection = None;
    let mut serial = 0;
    while !target.stop.load(Ordering::Relaxed) {
        serial += 1;
        let method = if serial % ORDER_EACH == 0 { "POST" } else { "GET" };
        let path = if method == "POST" { "/order/1" } else { "/read/1" };
        let id = format!("{method}-{number}-{serial}");
        let is_calm = target.is_calm.load(Ordering::Relaxed);
        let res =
            exchange(target, &mut connection, &mut rng, &config::request(method, path, &id, false));
        match res {
            Ok(it) => check(target, &id, &it, is_calm),
            Err(_broken) => {
                connection = None;
                target.ledger.answered(&id, 0);
                // A daemon that ends closes connections whose next request it hasn't read.
                if is_calm && target.is_calm.load(Ordering::Relaxed) {
                    target.ledger.cut(&id);
                }
            }
        }
        if is_calm {
            target.calm_requests.fetch_add(1, Ordering::Relaxed);
        }
        std::thread::sleep(PAUSE);
    }
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

fn exchange(
    target: &Target,
    connection: &mut Option<TcpStream>,
    rng: &mut fastrand::Rng,
    request: &str,
) -> io::Result<Answer> {
    let stream = if let Some(it) = connection {
        it
    } else {
        let address = target.addresses[rng.usize(..target.addresses.len())];
        let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        connection.insert(stream)
    };
    stream.write_all(request.as_bytes())?;
    let answer = read(stream)?;
    if answer.head.to_ascii_lowercase().contains("connection: close") {
        *connection = None;
    }
    Ok(answer)
}

fn read(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(it) = parse(&bytes) {
            return Ok(it);
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|it| it.strip_prefix("Content-Length: "))?;
    let length: usize = length.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (body.len() >= length).then(|| Answer { status, head: head.to_owned(), body: body.to_owned() })
}
