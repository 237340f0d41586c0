//! Settings of one daemon, read from an INI file.

use std::{net::SocketAddr, time::Duration};

use ini::{Finding, Keys};

/// Settings, or all findings in them.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// Valid range of the memory for bodies, in bytes.
const MEMORY_BYTES: std::ops::RangeInclusive<u64> = (1 << 20)..=(64 << 30);
/// Minimum length of the peers' token in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// Settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Address that callers connect to; port 0 selects a free port.
    pub caller_address: SocketAddr,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Address of `/metrics`, `/status`, `/explain` and `/drain`.
    pub admin_address: SocketAddr,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Address of the platform's host list.
    pub hosts_address: SocketAddr,
    /// Initial addresses of peers; heartbeats add more.
    pub peers: Vec<SocketAddr>,
    /// Secret that all daemons of a fleet share.
    pub peers_token: String,
    /// Failure domain of this host.
    pub domain: String,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Maximum number of connections from callers.
    pub connection_limit: usize,
    /// Timeout of a request's head, also for the next request on an idle connection.
    pub head_timeout: Duration,
    /// Memory for request bodies larger than 64 KiB, in bytes.
    pub request_memory_bytes: u64,
    /// Memory for answers larger than 64 KiB, in bytes.
    pub answer_memory_bytes: u64,
    /// How long callers may use the directions.
    pub directions_keep: Duration,
    /// Maximum time that a leaving daemon waits for work in progress.
    pub drain_limit: Duration,
    /// Whether each routing decision is logged.
    pub log_decisions: bool,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            caller_address: any,
            peer_address: any,
            admin_address: any,
            log_address: any,
            hosts_address: any,
            peers: Vec::new(),
            peers_token: String::new(),
            domain: String::new(),
            threads: 2,
            connection_limit: 1_024,
            head_timeout: Duration::from_secs(15),
            request_memory_bytes: 256 << 20,
            answer_memory_bytes: 256 << 20,
            directions_keep: Duration::from_secs(3),
            drain_limit: Duration::from_mins(1),
            log_decisions: true,
            log_level: log::LevelFilter::Info,
        }
    }
}

impl Settings {
    /// Reads the settings from the text of an INI file with one section `[daemon]`.
    ///
    /// # Errors
    ///
    /// Returns all findings with their lines.
    pub fn parse(text: &str) -> Result<Self> {
        let (sections, mut findings) = ini::sections(text);
        let mut res = Self::default();
        for it in &sections {
            match it.name.as_str() {
                "daemon" => findings.extend(res.read(it)),
                other => {
                    let message = format!("unknown section `{}`", ini::excerpt(other));
                    findings.push(it.finding(it.line, message));
                }
            }
        }
        if !sections.iter().any(|it| it.name == "daemon") {
            let message = "missing section `[daemon]`".to_owned();
            findings.push(Finding { line: 0, section: String::new(), message });
        }
        if findings.is_empty() { Ok(res) } else { Err(findings) }
    }

    fn read(&mut self, section: &ini::Section) -> Vec<Finding> {
        let mut keys = Keys::new(section);
        keys.require(&[
            "caller_address",
            "peer_address",
            "admin_address",
            "log_address",
            "hosts_address",
            "peers_token",
            "domain",
        ]);
        self.read_addresses(&mut keys);
        self.read_limits(&mut keys);
        if let Some(it) = keys.read("peers_token", check_token) {
            self.peers_token = it;
        }
        if let Some(it) = keys.text("domain") {
            it.clone_into(&mut self.domain);
        }
        if let Some(it) = keys.flag("log_decisions") {
            self.log_decisions = it;
        }
        if let Some(it) = keys.read("log_level", |it| it.parse().map_err(|_e| level_hint(it))) {
            self.log_level = it;
        }
        keys.finish()
    }

    fn read_addresses(&mut self, keys: &mut Keys<'_>) {
        let own = [
            ("caller_address", &mut self.caller_address),
            ("peer_address", &mut self.peer_address),
            ("admin_address", &mut self.admin_address),
        ];
        for (key, field) in own {
            if let Some(it) = keys.read(key, parse_address) {
                *field = it;
            }
        }
        let others =
            [("log_address", &mut self.log_address), ("hosts_address", &mut self.hosts_address)];
        for (key, field) in others {
            if let Some(it) = keys.address(key) {
                *field = it;
            }
        }
        if let Some(it) = keys.read("peers", parse_addresses) {
            self.peers = it;
        }
    }

    fn read_limits(&mut self, keys: &mut Keys<'_>) {
        let second = Duration::from_secs(1);
        if let Some(it) = keys.number("threads", 1..=256, "threads") {
            self.threads = it;
        }
        if let Some(it) = keys.number("connection_limit", 1..=1_000_000, "connections") {
            self.connection_limit = it;
        }
        if let Some(it) = keys.duration("head_timeout", second..=second * 300) {
            self.head_timeout = it;
        }
        if let Some(it) = keys.size("request_memory", MEMORY_BYTES) {
            self.request_memory_bytes = it;
        }
        if let Some(it) = keys.size("answer_memory", MEMORY_BYTES) {
            self.answer_memory_bytes = it;
        }
        if let Some(it) = keys.duration("directions_keep", second..=second * 60) {
            self.directions_keep = it;
        }
        if let Some(it) = keys.duration("drain_limit", second..=second * 3_600) {
            self.drain_limit = it;
        }
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    text.split(',').filter(|it| !it.trim().is_empty()).map(parse_address).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.trim().parse().map_err(|_e| format!("`{}` is no `IP:port`", ini::excerpt(text)))
}

fn check_token(text: &str) -> Result<String, String> {
    if text.len() < MIN_TOKEN_BYTES {
        return Err(format!("is shorter than {MIN_TOKEN_BYTES} bytes"));
    }
    Ok(text.to_owned())
}

fn level_hint(text: &str) -> String {
    format!("`{}` is none of off, error, warn, info, debug, trace", ini::excerpt(text))
}
