//! Upstreams that register in the store.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime},
};

use crate::{
    http::{Connection, Head},
    store::Store,
};

/// Interval at which an upstream writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Answers one request whose head was read. Returns whether the connection is kept.
pub type Handler = dyn Fn(&Upstream, &mut Connection, &Head) -> io::Result<bool> + Send + Sync;

/// An upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    slots: u32,
    pub born_ms: u128,
    sequence: Arc<AtomicU64>,
    /// Whether its answers report its load, which those of some services don't.
    reports_load: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    has_exited: Arc<AtomicBool>,
    /// Connections that were accepted.
    accepted: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    handler: Arc<Handler>,
}

impl Upstream {
    /// Starts an upstream on a free port of 127.0.0.`host`.
    pub fn start(
        store: &Store,
        host: u8,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        handler: Arc<Handler>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::new(127, 0, 0, host), 0))?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let upstream = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            born_ms: born.as_millis(),
            sequence: Arc::default(),
            reports_load: Arc::new(AtomicBool::new(true)),
            is_draining: Arc::default(),
            has_exited: Arc::default(),
            accepted: Arc::default(),
            store: store.clone(),
            handler,
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                served.accepted.lock().unwrap().extend(stream.try_clone());
                let upstream = served.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            while !beating.has_exited.load(Ordering::SeqCst) {
                beating.write();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    /// Leaves the load out of its answers from now on.
    pub fn hide_load(&self) {
        self.reports_load.store(false, Ordering::SeqCst);
    }

    /// Reports that it drains.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.write();
    }

    /// Removes its entry and ends, with all connections.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, None);
        for it in self.accepted.lock().unwrap().drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes its port.
        let _ = TcpStream::connect(self.address);
    }

    /// Its entry now, with `born_ms` as the time of its start.
    pub fn entry(&self, born_ms: u128) -> String {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"{state}\",\"seq\":{sequence},\"slow_start_ms\":0}}}}",
            self.address, born_ms, self.service, self.zone, self.slots
        )
    }

    fn write(&self) {
        self.store.put("keyed.servers", &self.id, Some(&self.entry(self.born_ms)));
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.head() {
            let kept = if head.target() == "/healthz" {
                let status = if self.is_draining.load(Ordering::SeqCst) {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Fireflydrum-Instance-Id: {}\r\n{}Content-Length: 0\r\n\r\n",
                    self.id,
                    self.notices(0)
                );
                connection.write(text.as_bytes()).is_ok()
            } else if head.get("x-fireflydrum-expect-instance").is_some_and(|it| it != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Fireflydrum-Instance-Id: {}\r\n\
                     Content-Length: 0\r\nConnection: close\r\n\r\n",
                    self.id
                );
                let _ = connection.write(text.as_bytes());
                false
            } else {
                (self.handler)(self, &mut connection, &head).unwrap_or(false)
            };
            if !kept {
                return;
            }
        }
    }

    /// Head of an answer to a request with `length` bytes of body.
    pub fn answer_head(&self, head: &Head, status: &str, length: usize) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Fireflydrum-Request-Id: {}\r\nX-Fireflydrum-Upstream-Seal: {}.{length}\r\n\
             {}Content-Length: {length}\r\n\r\n",
            head.get("x-fireflydrum-request-id").unwrap_or_default(),
            self.id,
            self.notices(1),
        )
    }

    /// Headers with what it says about itself in all its answers.
    fn notices(&self, running: u32) -> String {
        let mut res = String::new();
        if self.reports_load.load(Ordering::SeqCst) {
            res += &format!("X-Fireflydrum-Upstream-Load: {running},0,{}\r\n", self.slots);
        }
        if self.is_draining.load(Ordering::SeqCst) {
            res += "Server-Leaving: 1\r\n";
        }
        res
    }
}
