//! Simulated callers for planned stops. They keep their connections until the daemon ends them, in
//! all the ways in which a request can be in progress when the daemon receives SIGTERM.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use platform_standin::config;

use crate::caller::{self, Answer, Connection, Context};

/// Pause after a round, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Usual time that an upstream works on a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 5..400;
/// One in this many requests takes long.
const LONG_EVERY: u64 = 6;
/// Longest work of an upstream on a request, as a share of the time that a daemon takes to stop: a
/// request is accepted for the first half of that.
const LONG_WORK_SHARE: f64 = 0.45;
/// Time after the signal up to which any request may be accepted. One that is longer than
/// [`LONG_WORK_SHARE`] still ends if it has the rest of a long grace period.
const OPEN_TIME: Duration = Duration::from_secs(3);
/// Time by which a daemon has ended before its grace period, with a margin for a busy machine.
const END_MARGIN: Duration = Duration::from_millis(800);
/// Time-out for reading an answer, longer than the time limit of the requests.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a caller that pipelines sends requests.
const PIPELINE_INTERVAL: Duration = Duration::from_millis(40);
/// Time that a request takes whose head or body comes in two parts, in milliseconds.
const PART_PAUSE_MS: std::ops::Range<u64> = 100..2_500;
/// Bytes of a body that is sent in two parts.
const BODY_BYTES: usize = 64 << 10;
/// Bytes of an upload that its upstream reads late: more than the buffers of the sockets hold.
pub(crate) const UPLOAD_BYTES: usize = 6 << 20;
/// Bytes of an answer that is read slowly: more than the buffers of the sockets hold.
const LARGE_BYTES: u64 = 8 << 20;
/// Time since the signal after which a request has come late, and until which connections are accepted.
const LATE: std::ops::Range<Duration> = OPEN_TIME..Duration::from_millis(3_500);
/// Time by which a late order ends before its time limit.
const LATE_MARGIN: Duration = Duration::from_secs(1);
/// Pause of a slow reader after each block.
const READ_PAUSE: Duration = Duration::from_millis(4);
/// Bytes that a slow reader takes at a time.
const READ_BLOCK_BYTES: usize = 64 << 10;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// One request after the other on a kept connection.
    Sequential,
    /// Reads on a kept connection, each sent at its time whether or not the last is answered.
    Pipelined,
    /// Each request on a new connection.
    Fresh,
    /// The body in two parts.
    SlowBody,
    /// The head in two parts.
    SlowHead,
    /// HTTP/1.0, without keeping the connection.
    Old,
    /// A large answer, read slowly.
    SlowReader,
    /// An upload that its upstream reads late, after the answer in half of the cases.
    LateRead,
    /// Orders on new connections, to daemons that have been stopping for so long that no rule excuses
    /// one that is broken off. Each takes almost as long as it may.
    Late,
}

const MANNERS: [Manner; 9] = [
    Manner::Late,
    Manner::Sequential,
    Manner::Pipelined,
    Manner::Fresh,
    Manner::SlowBody,
    Manner::SlowHead,
    Manner::Old,
    Manner::SlowReader,
    Manner::LateRead,
];

struct Caller<'a> {
    context: &'a Context,
    rng: fastrand::Rng,
    number: u64,
    serial: u64,
}

/// Sends requests until `stop` is set.
pub(crate) fn run(context: &Context, number: u64) {
    let manner = MANNERS[usize::try_from(number).unwrap_or_default() % MANNERS.len()];
    let mut caller = Caller { context, rng: fastrand::Rng::with_seed(number), number, serial: 0 };
    let mut kept = None;
    while !context.stop.load(Ordering::Relaxed) {
        if matches!(manner, Manner::Late) {
            caller.send_late();
            continue;
        }
        // A daemon that has closed its port is being stopped or started.
        let open = kept.take().map_or_else(|| caller::connect(context, &mut caller.rng), Ok);
        if let Ok(mut it) = open
            && it.stream.set_read_timeout(Some(READ_TIMEOUT)).is_ok()
        {
            match manner {
                Manner::Pipelined => caller.pipeline(&mut it),
                Manner::SlowReader => caller.read_slowly(&mut it),
                Manner::LateRead => caller.upload(&mut it),
                _ => {
                    let is_open = caller.exchange(&mut it, manner);
                    let is_kept = is_open && !matches!(manner, Manner::Fresh | Manner::Old);
                    kept = is_kept.then_some(it);
                }
            }
        }
        thread::sleep(Duration::from_millis(caller.rng.u64(PAUSE_MS)));
    }
}

impl Caller<'_> {
    fn next_id(&mut self, method: &str) -> String {
        self.serial += 1;
        self.context.ledger.record_request(Instant::now());
        self.context.fault_free_requests.fetch_add(1, Ordering::Relaxed);
        format!("{method}-{}-{}", self.number, self.serial)
    }

    fn work_ms(&mut self) -> u64 {
        if self.rng.u64(..LONG_EVERY) > 0 {
            return self.rng.u64(WORK_MS);
        }
        let longest = longest_work_ms(self.context.grace);
        self.rng.u64(longest / 2..longest)
    }

    /// Builds a request whose deadline is the time limit of its route.
    fn request(&self, method: &str, target: &str, id: &str, is_last: bool) -> String {
        let text = config::request(method, target, id, is_last);
        config::with_deadline(&text, self.context.time_limit.as_millis())
    }

    /// Sends one request and reads its answer. Returns whether the connection is still open.
    fn exchange(&mut self, connection: &mut Connection, manner: Manner) -> bool {
        let method =
            if matches!(manner, Manner::SlowBody) || self.rng.bool() { "POST" } else { "GET" };
        let sent = Instant::now();
        let id = self.next_id(method);
        let (path, work) = (if method == "POST" { "order" } else { "read" }, self.work_ms());
        let mut text =
            self.request(method, &format!("/{path}/1?work_ms={work}"), &id, false).into_bytes();
        let mut pause_at = text.len();
        match manner {
            Manner::SlowBody => {
                let head = String::from_utf8_lossy(&text).into_owned();
                let length = format!("Content-Length: {BODY_BYTES}");
                text = head.replace("Content-Length: 0", &length).into_bytes();
                text.extend(vec![b'b'; BODY_BYTES]);
                pause_at = text.len() - BODY_BYTES / 2;
            }
            Manner::SlowHead => pause_at = text.len() / 2,
            Manner::Old => {
                text = String::from_utf8_lossy(&text).replace("HTTP/1.1", "HTTP/1.0").into_bytes();
            }
            _ => {}
        }
        let (first, second) = text.split_at(pause_at);
        let mut written = connection.stream.write_all(first);
        if !second.is_empty() {
            thread::sleep(Duration::from_millis(self.rng.u64(PART_PAUSE_MS)));
            written = written.and_then(|()| connection.stream.write_all(second));
        }
        // A daemon may have answered before it has read the whole request.
        drop(written);
        let answer = connection.read();
        record(self.context, connection.daemon, &id, sent, &answer);
        answer.is_ok_and(|it| !it.is_last())
    }

    /// Sends an order to each daemon for which it comes late.
    fn send_late(&mut self) {
        let context = self.context;
        for daemon in 0..context.addresses.len() {
            if !context.stopping_for(daemon).is_some_and(|it| LATE.contains(&it)) {
                continue;
            }
            let Ok(mut it) = caller::connect_to(context, daemon) else { continue };
            if it.stream.set_read_timeout(Some(READ_TIMEOUT)).is_err() {
                continue;
            }
            let (id, sent) = (self.next_id("POST"), Instant::now());
            let work = context.time_limit.saturating_sub(LATE_MARGIN).as_millis();
            let text = self.request("POST", &format!("/order/1?work_ms={work}"), &id, true);
            let answer = it.stream.write_all(text.as_bytes()).and_then(|()| it.read());
            record(context, daemon, &id, sent, &answer);
        }
        thread::sleep(Duration::from_millis(self.rng.u64(PAUSE_MS)));
    }

    /// Sends reads at fixed times on one connection until the daemon ends it.
    fn pipeline(&mut self, connection: &mut Connection) {
        let Ok(mut writer) = connection.stream.try_clone() else { return };
        let context = self.context;
        let is_over = AtomicBool::new(false);
        let (sender, ids) = mpsc::channel();
        thread::scope(|scope| {
            scope.spawn(|| {
                // Owned, so that the reader's loop ends with this thread.
                let sender = sender;
                let stops = || context.stop.load(Ordering::Relaxed);
                while !is_over.load(Ordering::Relaxed) && !stops() {
                    let (id, sent) = (self.next_id("GET"), Instant::now());
                    let target = format!("/read/1?work_ms={}", self.rng.u64(WORK_MS));
                    let text = self.request("GET", &target, &id, false);
                    let is_written = writer.write_all(text.as_bytes()).is_ok();
                    if sender.send((id, sent)).is_err() || !is_written {
                        break;
                    }
                    thread::sleep(PIPELINE_INTERVAL);
                }
            });
            let mut is_open = true;
            for (id, sent) in ids {
                // What was sent behind the last answer must not have reached an upstream either.
                let answer = if is_open {
                    connection.read()
                } else {
                    Err(io::ErrorKind::NotConnected.into())
                };
                record(context, connection.daemon, &id, sent, &answer);
                is_open = answer.is_ok_and(|it| !it.is_last());
                is_over.store(!is_open, Ordering::Relaxed);
            }
        });
    }

    /// Sends an upload that its upstream reads after some time. If it answers before that, a success
    /// promises that it gets the whole upload.
    fn upload(&mut self, connection: &mut Connection) {
        let (id, sent) = (self.next_id("POST"), Instant::now());
        let (pause, is_early) = (self.work_ms(), self.rng.bool());
        let target = format!("/order/1?read_after_ms={pause}&is_early={}", u8::from(is_early));
        let text = config::with_length(&self.request("POST", &target, &id, true), UPLOAD_BYTES);
        let bytes = [text.into_bytes(), vec![b'b'; UPLOAD_BYTES]].concat();
        let written = connection.stream.write_all(&bytes);
        let answer = connection.read();
        record(self.context, connection.daemon, &id, sent, &answer);
        if written.is_ok() && answer.is_ok_and(|it| it.status == 200) {
            self.context.ledger.record_upload(&id, is_early);
        }
    }

    /// Requests a large answer and reads it slowly.
    fn read_slowly(&mut self, connection: &mut Connection) {
        let (id, sent) = (self.next_id("GET"), Instant::now());
        let target = format!("/read/1?work_ms=5&bytes={LARGE_BYTES}");
        let text = self.request("GET", &target, &id, true);
        let answer = connection
            .stream
            .write_all(text.as_bytes())
            .and_then(|()| read_to_end(&mut connection.stream));
        record(self.context, connection.daemon, &id, sent, &answer);
    }
}

/// Longest work on a request that a daemon still ends if it accepts the request although its time limit
/// is longer than the rest of the stop.
fn longest_work_ms(grace: Duration) -> u64 {
    let late = grace.saturating_sub(OPEN_TIME + END_MARGIN);
    let longest = grace.mul_f64(LONG_WORK_SHARE).max(late);
    u64::try_from(longest.as_millis()).unwrap_or(u64::MAX)
}

/// Reads the only answer of a connection, slowly.
fn read_to_end(stream: &mut TcpStream) -> io::Result<Answer> {
    let (mut bytes, mut block) = (Vec::new(), vec![0; READ_BLOCK_BYTES]);
    loop {
        let count = stream.read(&mut block)?;
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&block[..count]);
        thread::sleep(READ_PAUSE);
    }
    let text = String::from_utf8(bytes).map_err(io::Error::other)?;
    caller::parse(&text).map(|(it, _)| it).ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Records what became of a request.
fn record(context: &Context, daemon: usize, id: &str, sent: Instant, answer: &io::Result<Answer>) {
    let Ok(answer) = answer else {
        context.ledger.record_answer(id, 0);
        context.ledger.record_broken(id);
        return;
    };
    caller::check(context, daemon, id, &[], answer, false);
    // Also an error of the daemon's own breaks off a request that an upstream works on, unless its
    // time is over.
    let is_error = answer.status >= 500 && answer.status != 503;
    if is_error && sent.elapsed() < context.time_limit {
        context.ledger.add_finding(format!("{id} got {} around a planned stop", answer.status));
    }
}
