//! The platform's store: keyed topics with one partition each.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Head};

/// Most records in a page of the newest ones.
const PAGE: usize = 500;

/// One record: the key and the value, or `None` if the key is removed.
type Entry = (Vec<u8>, Option<Vec<u8>>);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Entry>>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    /// Address that it serves.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { address: listener.local_addr()?, state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record; returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) -> u64 {
        self.append(topic, vec![(key.as_bytes().to_vec(), value.map(|it| it.as_bytes().to_vec()))])
    }

    fn append(&self, topic: &str, entries: Vec<Entry>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        records.extend(entries);
        changed.notify_all();
        offset
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.body(head.length().unwrap_or(0)) else { return };
            let (status, content_type, answer) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} S\r\nStore-Era: 1\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if connection.write(&[text.as_bytes(), &answer].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, &'static str, Vec<u8>) {
        let path = head.target().split('?').next().unwrap_or_default();
        let topic = head.parameter("topic").unwrap_or_default();
        match path {
            "/fireflydrum/log-append" => {
                let mut entries = Vec::new();
                let mut rest = body;
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let content = &rest[4..4 + len];
                    let key_len = usize::from(content[0]);
                    let value = content[1 + key_len..].to_vec();
                    let value = (!value.is_empty()).then_some(value);
                    entries.push((content[1..1 + key_len].to_vec(), value));
                    rest = &rest[4 + len..];
                }
                let count = entries.len() as u64;
                let offset = self.append(topic, entries);
                let text = format!("{{\"offset\":{offset},\"end\":{}}}", offset + count);
                (200, "application/json", text.into_bytes())
            }
            "/fireflydrum/log-read" => self.read(head, topic),
            "/fireflydrum/log-newest" => self.newest(head, topic),
            _ => (404, "text/plain", Vec::new()),
        }
    }

    fn read(&self, head: &Head, topic: &str) -> (u16, &'static str, Vec<u8>) {
        let number = |name| head.parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0_u64);
        let from = usize::try_from(number("from")).unwrap();
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let records = state.topics.entry(topic.to_owned()).or_default();
            if from > records.len() {
                return (410, "application/json", b"{\"first\":0}".to_vec());
            }
            let now = Instant::now();
            if from < records.len() || now >= until {
                let mut res = (records.len() as u64).to_be_bytes().to_vec();
                res.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let value = value.as_deref().unwrap_or_default();
                    res.extend(u32::try_from(1 + key.len() + value.len()).unwrap().to_be_bytes());
                    res.push(u8::try_from(key.len()).unwrap());
                    res.extend(key);
                    res.extend(value);
                }
                return (200, "application/octet-stream", res);
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn newest(&self, head: &Head, topic: &str) -> (u16, &'static str, Vec<u8>) {
        let after = head.parameter("after").unwrap_or_default().as_bytes().to_vec();
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            match value {
                Some(it) => newest.insert(key.clone(), (offset, it.clone())),
                None => newest.remove(key),
            };
        }
        let mut items: Vec<_> = newest.into_iter().filter(|(key, _)| *key > after).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        let item = |(key, (offset, value)): &(Vec<u8>, (usize, Vec<u8>))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        };
        let items: Vec<_> = items.iter().map(item).collect();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"end\":{}}}",
            items.join(","),
            records.len()
        );
        (200, "application/json", text.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut res = String::new();
    for part in bytes.chunks(3) {
        let at = |index| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            res.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    res
}
