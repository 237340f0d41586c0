//! Upstreams that register in the store.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
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
    born_ms: u128,
    sequence: Arc<AtomicU64>,
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
            store: store.clone(),
            handler,
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = served.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            loop {
                beating.write();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(upstream)
    }

    /// Its entry now.
    pub fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\
             \"status\":{{\"state\":\"ready\",\"seq\":{sequence},\"slow_start_ms\":0}}}}",
            self.address, self.born_ms, self.service, self.zone, self.slots
        )
    }

    fn write(&self) {
        self.store.put("keyed.servers", &self.id, Some(&self.entry()));
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.head() {
            let kept = if head.target() == "/healthz" {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nX-Fireflydrum-Instance-Id: {}\r\n\
                     X-Fireflydrum-Upstream-Load: 0,0,{}\r\nContent-Length: 0\r\n\r\n",
                    self.id, self.slots
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
             X-Fireflydrum-Upstream-Load: 1,0,{}\r\nContent-Length: {length}\r\n\r\n",
            head.get("x-fireflydrum-request-id").unwrap_or_default(),
            self.id,
            self.slots,
        )
    }
}
