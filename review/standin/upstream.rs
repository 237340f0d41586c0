//! Stand-ins for upstreams.

use std::{
    collections::HashMap,
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use crate::{
    http::{Head, Reader, answer},
    store::Store,
};

/// Interval at which an upstream writes its entry.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What an upstream does with a request whose head has been read. It returns whether the connection
/// is kept.
pub type Handler = dyn Fn(&Upstream, &Head, &mut Reader) -> io::Result<bool> + Send + Sync;

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    /// Ids of the requests that it has begun to work on.
    pub run: Arc<Mutex<Vec<String>>>,
    /// Whether its entry in the store is no longer written.
    is_removed: Arc<Mutex<bool>>,
    has_exited: Arc<AtomicBool>,
    /// Open connections by the address of the client.
    connections: Arc<Mutex<HashMap<SocketAddr, TcpStream>>>,
    handler: Arc<Handler>,
}

impl Upstream {
    /// Starts an upstream of `service` and registers it.
    pub fn start(store: &Store, service: &str, number: usize, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address for an upstream");
        let address = listener.local_addr().expect("an address");
        let id = format!("i-{service}-{number}");
        let upstream = Self {
            id,
            run: Arc::default(),
            is_removed: Arc::default(),
            has_exited: Arc::default(),
            connections: Arc::default(),
            handler,
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = serving.clone();
                if upstream.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(client) = stream.peer_addr() else { continue };
                if let Ok(it) = stream.try_clone() {
                    upstream.connections.lock().unwrap().insert(client, it);
                }
                thread::spawn(move || {
                    upstream.serve(stream);
                    upstream.connections.lock().unwrap().remove(&client);
                });
            }
        });
        let (is_removed, silence) = (Arc::clone(&upstream.is_removed), store.clone());
        let (store, id, service) = (store.clone(), upstream.id.clone(), service.to_owned());
        let born = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let beat = move |seq: u64| {
            let entry = format!(
                "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
                 \"version\":\"v1\",\"zone\":\"zone-{}\",\"slots\":6}},\"status\":{{\"state\":\"ready\",\
                 \"seq\":{seq},\"slow_start_ms\":0}}}}",
                number % 3
            );
            store.put("keyed.servers", &id, &entry);
        };
        beat(1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(BEAT_INTERVAL);
                let is_removed = is_removed.lock().unwrap();
                if *is_removed {
                    return;
                }
                if !silence.is_silent() {
                    beat(seq);
                }
            }
        });
        upstream
    }

    /// Takes its entry out of the store. It goes on serving until [`Self::exit`].
    pub fn remove(&self, store: &Store) {
        let mut is_removed = self.is_removed.lock().unwrap();
        *is_removed = true;
        store.put("keyed.servers", &self.id, "");
    }

    /// Ends it, with all its connections.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        for (_, it) in self.connections.lock().unwrap().drain() {
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let kept = if head.target() == "/healthz" {
                let headers = [
                    ("X-Fireflydrum-Instance-Id", &*self.id),
                    ("X-Fireflydrum-Upstream-Load", "0,0,6,100"),
                ];
                answer(&mut reader.stream, "200 OK", &headers, b"").is_ok()
            } else {
                (self.handler)(self, &head, &mut reader).unwrap_or(false)
            };
            if !kept {
                return;
            }
        }
    }

    /// Records that a request runs.
    pub fn begin(&self, head: &Head) -> String {
        let id = head.get("x-fireflydrum-request-id").unwrap_or("").to_owned();
        self.run.lock().unwrap().push(id.clone());
        id
    }
}

/// Runs a request for `work` and answers it with a body of `length` bytes.
pub fn work(
    upstream: &Upstream,
    head: &Head,
    reader: &mut Reader,
    work: Duration,
    length: usize,
) -> io::Result<bool> {
    reader.body(head.length().unwrap_or(0))?;
    let id = upstream.begin(head);
    thread::sleep(work);
    let headers = [
        ("X-Fireflydrum-Request-Id", &*id),
        ("X-Fireflydrum-Upstream-Seal", &*format!("seal-{id}")),
        ("X-Fireflydrum-Upstream-Load", "1,0,6,100"),
    ];
    answer(&mut reader.stream, "200 OK", &headers, &vec![b'x'; length])?;
    Ok(true)
}

/// The configuration: one route of each kind. `timeout_ms` holds for all.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":220,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":{version},\"services\":[{},{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"virtual_hosts\":[{{\"hostname\":\"hulo84.example\",\"paths\":[{},{},{}]}}]}}",
        service("stockdesk"),
        service("orderbook"),
        service("docvault"),
        route("stock", "safe", "stockdesk"),
        route("order", "unsafe", "orderbook"),
        route("upload", "upload", "docvault"),
    )
}
