//! Stand-in for the platform's store: the calls of PROTOCOL.md that the daemons make.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Head, Reader, answer};

/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Records = Vec<(Vec<u8>, Vec<u8>)>;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Records>>, Condvar)>,
    /// Whether calls get no answer. Their connections give none later either.
    is_silent: Arc<AtomicBool>,
    /// When the entries of upstreams were last read.
    entries_read: Arc<Mutex<Instant>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address for the store");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            address,
            topics: Arc::default(),
            is_silent: Arc::default(),
            entries_read: Arc::new(Mutex::new(Instant::now())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Makes the store silent, or ends that.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
        // Held reads notice it.
        self.topics.1.notify_all();
    }

    /// Waits until the entries of upstreams have just been read.
    pub fn await_read(&self) {
        let before = *self.entries_read.lock().unwrap();
        while *self.entries_read.lock().unwrap() == before {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, key.as_bytes().to_vec(), value.as_bytes().to_vec());
    }

    fn append(&self, topic: &str, key: Vec<u8>, value: Vec<u8>) -> (usize, usize) {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key, value));
        self.topics.1.notify_all();
        (records.len() - 1, records.len())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(head.length().unwrap_or(0)) else { return };
            if self.call(&head, &body, &mut writer).is_err() {
                break;
            }
        }
        // The connection stays open until the client closes it.
        while let Ok(Some(_)) = reader.head() {}
    }

    pub fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::SeqCst)
    }

    /// Fails if the store is silent.
    fn check(&self) -> io::Result<()> {
        if self.is_silent() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    fn call(&self, head: &Head, body: &[u8], writer: &mut TcpStream) -> io::Result<()> {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: BTreeMap<_, _> = query.split('&').filter_map(|it| it.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("").to_owned();
        let number = |name: &str| query.get(name).and_then(|it| it.parse().ok()).unwrap_or(0_u64);
        self.check()?;
        thread::sleep(ANSWER_TIME);
        self.check()?;
        match path {
            "/fireflydrum/log-newest" => {
                let text = self.newest(&topic, query.get("after").copied());
                answer(writer, "200 OK", &[("Content-Type", "application/json")], text.as_bytes())
            }
            "/fireflydrum/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").min(30_000));
                if topic == "keyed.servers" {
                    *self.entries_read.lock().unwrap() = Instant::now();
                }
                let bytes = self.read(&topic, number("from") as usize, wait)?;
                answer(writer, "200 OK", &[], &bytes)
            }
            "/fireflydrum/log-append" if body.len() > 4 => {
                let key_len = usize::from(body[4]);
                let (key, value) = (body[5..5 + key_len].to_vec(), body[5 + key_len..].to_vec());
                let (offset, end) = self.append(&topic, key, value);
                let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
                answer(writer, "200 OK", &[("Content-Type", "application/json")], text.as_bytes())
            }
            _ => answer(writer, "404 Not Found", &[], b""),
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> String {
        let topics = self.topics.0.lock().unwrap();
        let mut newest = BTreeMap::new();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        for (offset, (key, value)) in records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key.clone(), (offset, value.clone()));
            }
        }
        let items: Vec<_> = newest
            .into_iter()
            .map(|(key, it)| (String::from_utf8_lossy(&key).into_owned(), it))
            .filter(|(key, _)| after.is_none_or(|it| key.as_str() > it))
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(&value)
                )
            })
            .collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"end\":{}}}", items.join(","), records.len())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> io::Result<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            self.check()?;
            let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let new = records.get(from..).unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend(0_u64.to_be_bytes());
                for (key, value) in new {
                    let length = 1 + key.len() + value.len();
                    out.extend((length as u32).to_be_bytes());
                    out.push(key.len() as u8);
                    out.extend(key);
                    out.extend(value);
                }
                return Ok(out);
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= part.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
