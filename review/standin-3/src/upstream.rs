//! Upstreams that serve requests and health checks.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// One incarnation of an upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
    service: String,
    work: Duration,
    tells_load: bool,
    is_leaving: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    runs: Arc<Mutex<Vec<(String, u64)>>>,
    record: Record,
}

impl Upstream {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        born: u64,
        work: Duration,
        tells_load: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let res = Self {
            id: id.to_owned(),
            address,
            born,
            service: service.to_owned(),
            work,
            tells_load,
            is_leaving: Arc::default(),
            has_ended: Arc::default(),
            connections: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        res.say("starts");
        let server = res.clone();
        http::serve(listener, move |stream| server.serve(stream));
        res
    }

    /// The entry that the upstream writes into the store.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"a\",\"slots\":4}},\"status\":{{\"state\":\"{state}\",\"seq\":{seq},\
             \"slow_start_ms\":0}}}}",
            self.address, self.born, self.service
        )
    }

    /// From now on, all answers say that the upstream leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.say("leaves");
    }

    /// Ends the upstream: its connections break and what it runs is lost.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for it in self.connections.lock().expect("no holder panics").drain(..) {
            let _ = it.shutdown(std::net::Shutdown::Both);
        }
        self.say("ends");
    }

    /// Ids of the requests that it began to run, with the times.
    pub fn runs(&self) -> Vec<(String, u64)> {
        self.runs.lock().expect("no holder panics").clone()
    }

    fn say(&self, text: &str) {
        let Self { id, service, address, born, .. } = self;
        self.record.line(&format!("upstream {id} of {service} at {address} born {born}: {text}"));
    }

    fn serve(&self, mut stream: TcpStream) {
        if self.has_ended.load(Ordering::SeqCst) {
            return;
        }
        let _ = stream.set_nodelay(true);
        if let Ok(it) = stream.try_clone() {
            self.connections.lock().expect("no holder panics").push(it);
        }
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let Some(answer) = self.answer(&request, &mut stream) else { return };
            if self.has_ended.load(Ordering::SeqCst) || stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// The answer to a request, unless its connection closes while it runs.
    fn answer(&self, request: &Message, stream: &mut TcpStream) -> Option<Vec<u8>> {
        let mut headers = format!("X-Fireflydrum-Instance-Id: {}\r\n", self.id);
        if self.tells_load {
            headers += "X-Fireflydrum-Upstream-Load: 0,0,4,100\r\n";
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            headers += "Server-Leaving: 1\r\nConnection: close\r\n";
        }
        if request.path() == "/healthz" {
            let status = if self.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            return Some(http::answer(status, &headers, b""));
        }
        let Some(id) = request.get("X-Fireflydrum-Request-Id") else {
            let headers = format!("{headers}X-Fireflydrum-Not-Executed: 1\r\n");
            return Some(http::answer(400, &headers, b""));
        };
        headers += &format!("X-Fireflydrum-Request-Id: {id}\r\n");
        let expected = request.get("X-Fireflydrum-Expect-Instance");
        if expected.is_some_and(|it| it != self.id) {
            self.say(&format!("turns {id} away, which is for {expected:?}"));
            let headers = format!("{headers}X-Fireflydrum-Not-Executed: 1\r\n");
            return Some(http::answer(421, &headers, b""));
        }
        let now = self.record.now_ms();
        self.runs.lock().expect("no holder panics").push((id.to_owned(), now));
        self.say(&format!("runs {id}: {}", request.start));
        if !self.work(stream) {
            self.say(&format!("drops {id}, whose connection has closed"));
            return None;
        }
        if self.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let body = format!("{} of {} ran {id}", self.id, self.service);
        let headers = format!("{headers}X-Fireflydrum-Upstream-Seal: {}.{id}\r\n", self.id);
        self.say(&format!("answers {id}"));
        Some(http::answer(200, &headers, body.as_bytes()))
    }

    /// Works on a request; returns false if its connection closes meanwhile.
    fn work(&self, stream: &mut TcpStream) -> bool {
        let timeout = self.work.max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(timeout));
        let res = match stream.read(&mut [0]) {
            Ok(0) => false,
            Ok(_) => {
                thread::sleep(self.work);
                true
            }
            Err(e) => {
                matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
            }
        };
        let _ = stream.set_read_timeout(None);
        res
    }
}
