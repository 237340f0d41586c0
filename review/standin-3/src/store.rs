//! The platform's store: two keyed topics of the platform, and those of the daemons.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// Topic of the operator.
pub const OPERATOR: &str = "keyed.op";
/// Topic of the upstreams.
pub const SERVERS: &str = "keyed.servers";

type Topic = Vec<(Vec<u8>, Vec<u8>)>;

/// An address at which the store is served, until it is closed.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    /// Closes the connections to this address, and all further ones.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        for it in self.connections.lock().expect("no holder panics").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }
}

/// A store on loopback. Its contents can be served at more than one address.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>);

impl Store {
    /// Serves the store at a further address.
    pub fn listen(&self) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let door = Door { address, is_closed: Arc::default(), connections: Arc::default() };
        let (store, res) = (self.clone(), door.clone());
        http::serve(listener, move |stream| store.serve(stream, &door));
        res
    }

    /// Writes a record, as the operator or an upstream does; returns its offset once it is
    /// acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> usize {
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        self.append(topic, vec![record])
    }

    fn append(&self, topic: &str, records: Topic) -> usize {
        let mut topics = self.0.0.lock().expect("no holder panics");
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.len();
        topic.extend(records);
        self.0.1.notify_all();
        offset
    }

    fn serve(&self, mut stream: TcpStream, door: &Door) {
        if door.is_closed.load(Ordering::SeqCst) {
            return;
        }
        if let Ok(it) = stream.try_clone() {
            door.connections.lock().expect("no holder panics").push(it);
        }
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            let (status, kind, body) = self.answer(&request);
            let answer = http::answer(status, &format!("Content-Type: {kind}\r\n"), &body);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, &'static str, Vec<u8>) {
        let json = "application/json";
        let Some(topic) = request.query("topic") else { return (400, json, b"{}".to_vec()) };
        match request.path() {
            "/fireflydrum/log-newest" => (200, json, self.newest(topic).into_bytes()),
            "/fireflydrum/log-read" => {
                let number = |name| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                match self.read(topic, number("from"), wait) {
                    Some(it) => (200, "application/octet-stream", it),
                    None => (410, json, b"{\"first\":0}".to_vec()),
                }
            }
            "/fireflydrum/log-append" if [OPERATOR, SERVERS].contains(&topic) => {
                (403, json, b"{}".to_vec())
            }
            "/fireflydrum/log-append" => {
                let records = records(&request.body);
                let end = records.len();
                let offset = self.append(topic, records);
                let text = format!("{{\"offset\":{offset},\"end\":{}}}", offset + end);
                (200, json, text.into_bytes())
            }
            _ => (404, json, b"{}".to_vec()),
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.0.0.lock().expect("no holder panics");
        let topic = topics.get(topic).cloned().unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in topic.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let end = topic.len();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}", items.join(","))
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut topics = self.0.0.lock().expect("no holder panics");
        let from = usize::try_from(from).ok()?;
        loop {
            let records = topics.get(topic).cloned().unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if from > records.len() {
                return None;
            }
            if from < records.len() || left.is_zero() {
                let mut res = (records.len() as u64).to_be_bytes().to_vec();
                res.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let len = u32::try_from(1 + key.len() + value.len()).ok()?;
                    res.extend(len.to_be_bytes());
                    res.push(u8::try_from(key.len()).ok()?);
                    res.extend(key);
                    res.extend(value);
                }
                return Some(res);
            }
            topics = self.0.1.wait_timeout(topics, left).expect("no holder panics").0;
        }
    }
}

/// The records of an append, each with its length, and the length of its key.
fn records(mut body: &[u8]) -> Topic {
    let mut res = Vec::new();
    while let Some((len, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*len) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        res.push((key.to_vec(), value.to_vec()));
        body = rest;
    }
    res
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut res = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0_u32;
        for place in 0..3 {
            number = number << 8 | u32::from(chunk.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            res.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    res
}
