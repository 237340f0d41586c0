//! One odd entry of another writer, with a number that is too large, for an upstream that drains later.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    daemon::Bounds,
    fleet,
    http::{Connection, Head},
    record::Record,
    store::Store,
    upstream::{Handler, Upstream},
};

/// Work of one order.
const WORK: Duration = Duration::from_millis(900);
/// Time after which a draining upstream must get nothing.
const DRAIN: Duration = Duration::from_millis(2_000);
/// When orders are sent, from the acknowledgement of the draining on.
const ORDERS_AT: Duration = Duration::from_millis(2_600);
/// When the draining upstream ends, from the acknowledgement on.
const EXIT_AT: Duration = Duration::from_millis(3_200);
/// Orders that are sent at once, to the daemons by turns.
const ORDERS: usize = 8;

/// A run of an order: its id, the upstream, and when it began.
type Run = (String, String, Duration);

pub fn run(
    program: &Path,
    temporary: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> io::Result<i32> {
    let bounds =
        Bounds { drain_ms: "2000", config_apply_ms: "2000", grace_s: "6", memory_mb: "650" };
    let store = Store::start()?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let handler = handler(Arc::clone(&runs), Arc::clone(record));
    let mut upstreams = Vec::new();
    for it in 0..2 {
        let handler = Arc::clone(&handler);
        let upstream =
            Upstream::start(&store, 1, &format!("i-{it}"), "orderbook", "zone-a", 6, handler)?;
        upstream.hide_load();
        upstreams.push(upstream);
    }
    store.put("keyed.op", "config", Some(&fleet::config(7, "orderbook", "unsafe", 3_000)));
    let daemons = fleet::start(program, temporary, &store, 2, &bounds)?;
    let Some(daemons) = daemons else { return Ok(2) };
    let callers: Vec<_> = daemons.iter().map(|it| it.addresses.caller).collect();
    // The daemons learn that the answers of this service report no load.
    for number in 0..3 {
        send_all(&callers, &format!("a{number}"), record);
    }
    let leaving = &upstreams[0];
    if trouble {
        let born = leaving.born_ms * 1_000;
        store.put("keyed.servers", &leaving.id, Some(&leaving.entry(born)));
        record.line(&format!("another writer leaves an entry of {}, born {born}", leaving.id));
    }
    // The upstream itself writes its entry several times.
    thread::sleep(Duration::from_secs(5));
    leaving.drain();
    let acknowledged = record.now();
    record.line(&format!("the store acknowledges that {} is draining", leaving.id));
    thread::sleep(ORDERS_AT);
    let (callers, log) = (callers.clone(), Arc::clone(record));
    let sending = thread::spawn(move || send_all(&callers, "b", &log));
    thread::sleep(EXIT_AT - ORDERS_AT);
    leaving.exit();
    record.line(&format!("{} has ended", leaving.id));
    let answers = sending.join().unwrap();
    let runs = runs.lock().unwrap();
    let late = |(_, upstream, at): &&Run| *upstream == leaving.id && *at > acknowledged + DRAIN;
    let late: Vec<_> = runs.iter().filter(late).collect();
    let lost = late.iter().filter(|(id, ..)| {
        answers.iter().any(|(answered, status)| answered == id && *status != 200)
    });
    record.line(&format!(
        "{} requests reached {} later than drain_ms after the acknowledgement, {} of them were \
         lost: DRAIN {}",
        late.len(),
        leaving.id,
        lost.count(),
        if late.is_empty() { "kept" } else { "broken" }
    ));
    if answers.iter().all(|(_, status)| *status != 200) {
        return Ok(2);
    }
    Ok(i32::from(!late.is_empty()))
}

fn handler(runs: Arc<Mutex<Vec<Run>>>, record: Arc<Record>) -> Arc<Handler> {
    Arc::new(move |upstream: &Upstream, connection: &mut Connection, head: &Head| {
        let id = head.get("x-fireflydrum-request-id").unwrap_or_default().to_owned();
        connection.body(head.length().unwrap_or(0))?;
        record.line(&format!("upstream {} runs {id}", upstream.id));
        runs.lock().unwrap().push((id, upstream.id.clone(), record.now()));
        thread::sleep(WORK);
        connection.write(format!("{}done", upstream.answer_head(head, "200 OK", 4)).as_bytes())?;
        Ok(true)
    })
}

/// Sends orders at once; returns their ids and the statuses of their answers.
fn send_all(callers: &[SocketAddr], name: &str, record: &Arc<Record>) -> Vec<(String, u16)> {
    let sending: Vec<_> = (0..ORDERS)
        .map(|number| {
            let (caller, id) = (callers[number % callers.len()], format!("order-{name}{number}"));
            let record = Arc::clone(record);
            thread::spawn(move || {
                let status = send(caller, &id).unwrap_or(0);
                record.line(&format!("client of {id} got {status}"));
                (id, status)
            })
        })
        .collect();
    sending.into_iter().map(|it| it.join().unwrap()).collect()
}

fn send(caller: SocketAddr, id: &str) -> io::Result<u16> {
    let mut connection = Connection::new(TcpStream::connect(caller)?);
    connection.stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let text = format!(
        "POST /a/1 HTTP/1.1\r\nHost: a.example\r\nX-Fireflydrum-Request-Id: {id}\r\n\
         X-Fireflydrum-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\norder"
    );
    connection.write(text.as_bytes())?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    connection.body(head.length().unwrap_or(0))?;
    Ok(head.status())
}
