//! Many clients upload at once. The platform kills a process that exceeds its memory.

use std::{
    collections::BTreeSet,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::{self, EBSA, Site},
    http::{Head, Reader},
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

/// Size of an upload; the configuration allows 64 MiB.
const UPLOAD_BYTES: usize = 6 << 20;
/// Parts in which a client sends its upload.
const PARTS: usize = 24;
/// Uploads. With the disruption they come at once: in a burst up to 109 clients upload within the
/// 3,000 ms that each has.
const UPLOADS: usize = 100;
/// Time that each upload takes in the burst: together they need less than the 2,000 Mbit/s of the
/// machine's link.
const BURST_UPLOAD_TIME: Duration = Duration::from_millis(2_600);
/// Time that an upload takes otherwise, and the usual interval between uploads.
const USUAL_UPLOAD_TIME: Duration = Duration::from_millis(50);
const USUAL_INTERVAL: Duration = Duration::from_millis(68);
/// Clients that read the stock on connections that they keep.
const READERS: usize = 10;
/// Mean work of a `stock-check`.
const WORK: Duration = Duration::from_millis(120);
/// The smaller machines of the deployment.
const SITE: Site = Site { memory_mb: 520, ..EBSA };

pub fn run(record: &Record, with_trouble: bool) -> Result<usize, String> {
    let store = Store::start();
    let handler = |upstream: &Upstream, head: &Head, reader: &mut Reader| {
        upstream::work(upstream, head, reader, WORK, 400)
    };
    let handler: Arc<upstream::Handler> = Arc::new(handler);
    let stock: Vec<_> = (0..4)
        .map(|it| Upstream::start(&store, "stockdesk", it, Arc::clone(&handler)))
        .collect();
    for it in 0..4 {
        Upstream::start(&store, "docvault", it, Arc::clone(&handler));
    }
    store.put("keyed.op", "config", &upstream::configuration(7, 3_000));
    let daemons = daemon::start(&store, SITE, 2)?;
    let address = daemons[0].callers;
    record.line(&format!("platform: memory_mb is {}", SITE.memory_mb));
    let is_over = Arc::new(AtomicBool::new(false));
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || read_stock(number, address, &record, &is_over))
        })
        .collect();
    // As the platform does, kills the process if it exceeds its memory.
    let peak = AtomicU64::new(0);
    let has_killed = AtomicBool::new(false);
    let mut failed_uploads = 0;
    let upload = |number: usize, time: Duration| {
        let id = format!("upload-{number}");
        let res = send_upload(address, &id, time);
        let text = match &res {
            Ok(head) => head.first.clone(),
            Err(e) => format!("no answer: {e}"),
        };
        record.line(&format!("client {id}: {} MiB, {text}", UPLOAD_BYTES >> 20));
        res.is_err()
    };
    thread::scope(|scope| {
        let upload = &upload;
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let used = daemons[0].memory_mb();
                peak.fetch_max(used, Ordering::Relaxed);
                if used > u64::from(SITE.memory_mb) {
                    record.line(&format!("platform: the process uses {used} MB and is killed"));
                    daemons[0].kill();
                    has_killed.store(true, Ordering::Relaxed);
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        thread::sleep(Duration::from_millis(500));
        let (interval, time) = if with_trouble {
            (Duration::ZERO, BURST_UPLOAD_TIME)
        } else {
            (USUAL_INTERVAL, USUAL_UPLOAD_TIME)
        };
        let mut uploads = Vec::new();
        for number in 0..UPLOADS {
            uploads.push(scope.spawn(move || upload(number, time)));
            thread::sleep(interval);
        }
        for it in uploads {
            failed_uploads += usize::from(it.join().unwrap_or(true));
        }
        thread::sleep(Duration::from_millis(500));
        is_over.store(true, Ordering::Relaxed);
    });
    record.line(&format!("platform: at most {} MB used", peak.load(Ordering::Relaxed)));
    let run: BTreeSet<_> = stock.iter().flat_map(|it| it.run.lock().unwrap().clone()).collect();
    let mut cut = 0;
    for it in readers {
        if let Some(id) = it.join().map_err(|_| "a client failed")? {
            let was_passed_on = run.contains(&id);
            record.line(&format!(
                "client {id}: its kept connection ended without an answer, passed on: {was_passed_on}"
            ));
            cut += usize::from(was_passed_on);
        }
    }
    if !with_trouble && (cut > 0 || failed_uploads > 0) {
        return Err("not every request was answered without trouble".to_owned());
    }
    // The rule allows three.
    let is_broken = has_killed.load(Ordering::Relaxed) && cut > 3;
    Ok(if is_broken { cut } else { 0 })
}

/// Reads the stock on one connection until all is over; returns the request that got no answer.
fn read_stock(
    number: usize,
    address: SocketAddr,
    record: &Record,
    is_over: &Arc<AtomicBool>,
) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream.try_clone().ok()?);
    let mut answered = 0;
    for count in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("stock-{number}-{count}");
        let request = format!(
            "GET /stock/{count} HTTP/1.1\r\nHost: hulo84.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
             X-Fireflydrum-Deadline-Ms: 2500\r\n\r\n"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            break;
        }
        let Ok(Some(head)) = reader.head() else { return Some(id) };
        if reader.body(head.length().unwrap_or(0)).is_err() {
            return Some(id);
        }
        answered += 1;
    }
    record.line(&format!("client stock-{number}: {answered} answers on its connection"));
    None
}

fn send_upload(address: SocketAddr, id: &str, time: Duration) -> io::Result<Head> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let mut writer = stream.try_clone()?;
    let request = format!(
        "POST /upload/a HTTP/1.1\r\nHost: hulo84.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 3000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    writer.write_all(request.as_bytes())?;
    let part = vec![b'c'; UPLOAD_BYTES / PARTS];
    let started = Instant::now();
    for number in 1..=PARTS {
        writer.write_all(&part)?;
        let due = time * number as u32 / PARTS as u32;
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let mut reader = Reader::new(stream);
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    reader.body(head.length().ok_or(io::ErrorKind::InvalidData)?)?;
    Ok(head)
}
