//! HTTP client of the log and of the host list.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use ureq::{Agent, http::StatusCode};

use crate::{Entry, Error, Hosts, Log, Offset, Page, Record, Result, Settings, wire};

/// Maximum length of a stream's name in bytes.
const STREAM_NAME_LIMIT_BYTES: usize = 128;

/// A client of the platform over HTTP.
///
/// Reads share pooled connections. Each append uses a new connection: the service may close an idle
/// one while the record is being sent, and then it is unknown whether the record was appended. This
/// type retries neither.
#[derive(Debug)]
pub struct Http {
    base: String,
    settings: Settings,
    reader: Agent,
    appender: Agent,
}

impl Http {
    /// Creates a client of the platform at `address`; it connects when first used.
    #[must_use]
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        Self {
            base: format!("http://{address}"),
            settings,
            reader: agent(settings, 2),
            appender: agent(settings, 0),
        }
    }

    fn get(&self, path: &str) -> Result<(StatusCode, Vec<u8>)> {
        let res = self
            .reader
            .get(format!("{}{path}", self.base))
            .call()
            .map_err(|err| unavailable(&err))?;
        let status = res.status();
        let body = self.body(res).map_err(|err| unavailable(&err))?;
        Ok((status, body))
    }

    fn body(&self, mut res: ureq::http::Response<ureq::Body>) -> Result<Vec<u8>, ureq::Error> {
        res.body_mut().with_config().limit(self.settings.answer_limit_bytes).read_to_vec()
    }
}

impl Log for Http {
    fn append(&self, stream: &str, record: &Bytes) -> Result<Offset> {
        check_name(stream).map_err(Error::Refused)?;
        if record.len() > self.settings.record_limit_bytes {
            let limit = self.settings.record_limit_bytes;
            return Err(Error::Refused(format!("record of {} bytes, limit {limit}", record.len())));
        }
        let url = format!("{}/streams/{stream}", self.base);
        let res = self.appender.post(url).send(&record[..]).map_err(|err| append_error(&err))?;
        let status = res.status();
        if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
            return Err(Error::Refused(format!("status {status}")));
        }
        if status != StatusCode::OK {
            return Err(Error::Unknown(format!("status {status}")));
        }
        let body = self.body(res).map_err(|err| Error::Unknown(err.to_string()))?;
        let appended: wire::Appended =
            serde_json::from_slice(&body).map_err(|err| Error::Unknown(err.to_string()))?;
        Ok(appended.offset)
    }

    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page> {
        check_name(stream).map_err(Error::Unavailable)?;
        let (status, body) = self.get(&format!("/streams/{stream}?from={from}&limit={limit}"))?;
        if status == StatusCode::GONE {
            let gone: wire::Gone = parse(&body)?;
            return Err(Error::Gone { first: gone.first });
        }
        expect_ok(status)?;
        page(parse(&body)?, from)
    }
}

impl Hosts for Http {
    fn list(&self) -> Result<Vec<Entry>> {
        let (status, body) = self.get("/hosts")?;
        expect_ok(status)?;
        let list: wire::Hosts = parse(&body)?;
        Ok(list.hosts)
    }
}

fn agent(settings: Settings, idle_connections: usize) -> Agent {
    Agent::config_builder()
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .proxy(None)
        .max_idle_connections(idle_connections)
        .max_idle_connections_per_host(idle_connections)
        .timeout_connect(Some(settings.connect_timeout))
        .timeout_global(Some(settings.call_timeout))
        .build()
        .new_agent()
}

/// Converts an error; only those that certainly occur before the first byte is sent count as
/// refused.
fn append_error(err: &ureq::Error) -> Error {
    let never_sent = match err {
        ureq::Error::Timeout(it) => {
            matches!(it, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(it) => it.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        _ => false,
    };
    if never_sent { Error::Refused(err.to_string()) } else { Error::Unknown(err.to_string()) }
}

fn unavailable(err: &ureq::Error) -> Error {
    Error::Unavailable(err.to_string())
}

fn expect_ok(status: StatusCode) -> Result<()> {
    if status == StatusCode::OK {
        return Ok(());
    }
    Err(Error::Unavailable(format!("status {status}")))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| Error::Unavailable(format!("bad answer: {err}")))
}

/// Converts a page and checks that its offsets ascend from `from` on, so that no record is read
/// twice.
fn page(page: wire::Page, from: Offset) -> Result<Page> {
    let mut records = Vec::with_capacity(page.records.len());
    let mut next = from;
    for it in page.records {
        let record =
            Record::try_from(it).map_err(|err| Error::Unavailable(format!("bad answer: {err}")))?;
        if record.offset < next {
            let found = record.offset;
            return Err(Error::Unavailable(format!("bad answer: offset {found} before {next}")));
        }
        next = record.offset + 1;
        records.push(record);
    }
    if !records.is_empty() && page.next < next {
        let found = page.next;
        return Err(Error::Unavailable(format!("bad answer: next {found} before {next}")));
    }
    Ok(Page { first: page.first, next: page.next, records })
}

fn check_name(stream: &str) -> Result<(), String> {
    let allowed = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.');
    if stream.is_empty() || stream.len() > STREAM_NAME_LIMIT_BYTES || !stream.chars().all(allowed) {
        return Err(format!("stream name {stream:?}: use 1 to 128 of a-z A-Z 0-9 - _ ."));
    }
    Ok(())
}
