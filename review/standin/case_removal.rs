//! An upstream leaves, and the platform's store is silent for two seconds just after it has taken out
//! the entry. The upstream exits after the machines are in touch again.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::{self, EBSA},
    http::{Head, Reader},
    record::Record,
    store::Store,
    upstream::{self, Upstream},
};

/// Upstreams that leave, one after the other.
const ROUNDS: usize = 6;
/// Time for which an upstream is used before it leaves.
const USED: Duration = Duration::from_millis(3_200);
/// Time from a read of the entries to the acknowledgement of the removal. The next read comes 0.67 s
/// after the last.
const AFTER_READ: Duration = Duration::from_millis(470);
/// Time from the acknowledgement of the removal to the silence of the store.
const BEFORE_SILENCE: Duration = Duration::from_millis(50);
/// Silence of the store.
const SILENCE: Duration = Duration::from_millis(2_000);
/// `stability_ms`: time after the return of the store from which machines are in touch.
const STABILITY: Duration = Duration::from_millis(3_000);
/// Time for which the upstream goes on serving after that.
const AFTER_STABILITY: Duration = Duration::from_millis(250);
/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Work of a `bulk-order`.
const WORK: Duration = Duration::from_millis(160);
/// Clients, and the time that each takes for an order: 48 orders a second.
const CLIENTS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(250);

/// When an upstream left.
struct Round {
    upstream: Upstream,
    removed: Instant,
    in_touch: Instant,
}

/// An order as its client saw it.
struct Order {
    id: String,
    sent: Instant,
    result: String,
    is_served: bool,
}

type Arrivals = Arc<Mutex<BTreeMap<String, (String, Instant)>>>;

pub fn run(record: &Record, with_trouble: bool) -> Result<usize, String> {
    let store = Store::start();
    let arrivals = Arrivals::default();
    let handler = {
        let arrivals = Arc::clone(&arrivals);
        move |upstream: &Upstream, head: &Head, reader: &mut Reader| {
            let id = head.get("x-fireflydrum-request-id").unwrap_or("").to_owned();
            arrivals.lock().unwrap().insert(id, (upstream.id.clone(), Instant::now()));
            upstream::work(upstream, head, reader, WORK, 400)
        }
    };
    let handler: Arc<upstream::Handler> = Arc::new(handler);
    for number in 0..3 {
        Upstream::start(&store, "orderbook", number, Arc::clone(&handler));
    }
    store.put("keyed.op", "config", &upstream::configuration(7, 1_500));
    let daemons = daemon::start(&store, EBSA, 2)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let address = daemons[number % daemons.len()].callers;
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || client(number, address, &is_over))
        })
        .collect();
    let mut rounds = Vec::new();
    for number in 0..ROUNDS {
        let upstream = Upstream::start(&store, "orderbook", 30 + number, Arc::clone(&handler));
        thread::sleep(USED);
        store.await_read();
        thread::sleep(AFTER_READ);
        upstream.remove(&store);
        let removed = Instant::now();
        record.line(&format!("store: entry of {} removed and acknowledged", upstream.id));
        thread::sleep(BEFORE_SILENCE);
        if with_trouble {
            record.line("store: silent");
            store.set_silent(true);
        }
        thread::sleep(SILENCE);
        if with_trouble {
            store.set_silent(false);
            record.line("store: answers again");
        }
        let in_touch = if with_trouble { Instant::now() + STABILITY } else { removed };
        thread::sleep(STABILITY + AFTER_STABILITY);
        record.line(&format!("upstream {}: exits", upstream.id));
        upstream.exit();
        rounds.push(Round { upstream, removed, in_touch });
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::Relaxed);
    let mut orders = Vec::new();
    for it in clients {
        orders.extend(it.join().map_err(|_| "a client failed")?);
    }
    let served = orders.iter().filter(|it| it.is_served).count();
    record.line(&format!("clients: {} orders sent, {served} served", orders.len()));
    if served * 10 < orders.len() * 9 {
        return Err("fewer than nine in ten orders were served".to_owned());
    }
    let arrivals = arrivals.lock().unwrap();
    let mut broken = 0;
    let mut lost = 0;
    for order in &orders {
        let Some((upstream, arrived)) = arrivals.get(&order.id) else { continue };
        let Some(round) = rounds.iter().find(|it| it.upstream.id == *upstream) else { continue };
        let late = arrived.saturating_duration_since(round.removed);
        if late <= DRAIN || order.sent < round.in_touch {
            continue;
        }
        broken += 1;
        lost += usize::from(!order.is_served);
        record.line(&format!(
            "client {}: sent {:.3} s after the machines are in touch, reached {upstream} {:.3} s after \
             the acknowledgement, got {}  <- DRAIN",
            order.id,
            order.sent.duration_since(round.in_touch).as_secs_f64(),
            late.as_secs_f64(),
            order.result,
        ));
    }
    record.line(&format!("of these, {lost} orders got no success although they had been run"));
    Ok(broken)
}

/// Sends orders on one connection until all is over.
fn client(number: usize, address: SocketAddr, is_over: &Arc<AtomicBool>) -> Vec<Order> {
    // Spreads the clients over the interval.
    thread::sleep(INTERVAL * number as u32 / CLIENTS as u32);
    let mut orders = Vec::new();
    let mut connection = None;
    for count in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("order-{number}-{count:03}");
        let sent = Instant::now();
        let res = send(&mut connection, address, &id);
        let (result, is_served) = match res {
            Ok(head) => (head.first.clone(), head.status() == 200),
            Err(e) => {
                connection = None;
                (format!("no answer: {e}"), false)
            }
        };
        orders.push(Order { id, sent, result, is_served });
        thread::sleep(INTERVAL.saturating_sub(sent.elapsed()));
    }
    orders
}

fn send(
    connection: &mut Option<Reader>,
    address: SocketAddr,
    id: &str,
) -> io::Result<Head> {
    let reader = match connection {
        Some(it) => it,
        None => {
            let stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(4)))?;
            connection.insert(Reader::new(stream))
        }
    };
    let request = format!(
        "POST /order/a HTTP/1.1\r\nHost: hulo84.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 3000\r\nContent-Length: 300\r\n\r\n{}",
        "c".repeat(300)
    );
    reader.stream.write_all(request.as_bytes())?;
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    reader.body(head.length().ok_or(io::ErrorKind::InvalidData)?)?;
    Ok(head)
}
