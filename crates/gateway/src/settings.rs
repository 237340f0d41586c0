//! Settings of a daemon whose configuration and upstreams are kept by the platform.

use std::{net::SocketAddr, time::Duration};

use ini::{Finding, Keys};

use crate::registry::Domain;

/// Settings, or every finding that speaks against them.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// Name of the section.
pub const SECTION: &str = "gateway";
/// Longest time that a setting may name.
const MAX_TIME: Duration = Duration::from_mins(10);
/// Memory that bodies may use, as a share of the host's.
const BODY_MEMORY_SHARE: u64 = 4;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Region of the host.
    pub region: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that is asked whether the daemon is ready.
    pub ready_address: SocketAddr,
    /// Address that callers ask for entry hosts.
    pub directory_address: SocketAddr,
    /// Address of peers' datagrams and calls.
    pub peer_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Hosts whose daemons may be running already; their peer port is the same as here.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Memory of the host.
    pub memory_bytes: u64,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Processor that the daemon may use, in cores.
    pub cpu_cores: f64,
    /// File descriptors that sockets may use.
    pub descriptor_limit: usize,
    /// Time within which a new configuration must be in force.
    pub config_apply: Duration,
    /// Time within which no new request may reach an upstream that leaves.
    pub drain: Duration,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
    /// Attempts beyond the first, as a share of a service's requests.
    pub retry_ratio: f64,
    /// Attempts beyond the first that are allowed besides, for all daemons together.
    pub retry_slack: f64,
    /// Window in which attempts are counted.
    pub retry_window: Duration,
    /// Probes a second that all daemons together may send to each upstream.
    pub probe_rate: f64,
    /// How long callers may keep the addresses of entry hosts.
    pub directory_keep: Duration,
    /// Lines a second that are logged for requests that succeed.
    pub success_lines_per_s: u32,
    /// Lines a second that are logged for requests that fail or are repeated, for each reason.
    pub failure_lines_per_s: u32,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            host: String::new(),
            domain: Domain::from(""),
            region: String::new(),
            caller_address: any,
            ready_address: any,
            directory_address: any,
            peer_address: any,
            metrics_address: any,
            seeds: Vec::new(),
            store_address: any,
            memory_bytes: 512 << 20,
            link_mbps: 1_000.0,
            cpu_cores: 1.0,
            descriptor_limit: 8_000,
            config_apply: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            probe_rate: 40.0,
            directory_keep: Duration::from_secs(2),
            success_lines_per_s: 2,
            failure_lines_per_s: 50,
        }
    }
}

impl Settings {
    /// Whether `text` contains the section `[gateway]`.
    #[must_use]
    pub fn has_section(text: &str) -> bool {
        ini::sections(text).0.iter().any(|it| it.name == SECTION)
    }

    /// Reads the settings from the text of an INI file with one section `[gateway]`.
    ///
    /// # Errors
    ///
    /// Every finding with its line.
    pub fn parse(text: &str) -> Result<Self> {
        let (sections, mut findings) = ini::sections(text);
        let mut res = Self::default();
        for it in &sections {
            if it.name == SECTION {
                findings.extend(res.read(it));
            } else {
                let message = format!("unknown section `{}`", ini::excerpt(&it.name));
                findings.push(it.finding(it.line, message));
            }
        }
        if !sections.iter().any(|it| it.name == SECTION) {
            let message = format!("missing section `[{SECTION}]`");
            findings.push(Finding { line: 0, section: String::new(), message });
        }
        if findings.is_empty() { Ok(res) } else { Err(findings) }
    }

    /// Memory that the bodies of requests may use, in bytes.
    #[must_use]
    pub fn body_memory_bytes(&self) -> usize {
        usize::try_from(self.memory_bytes / BODY_MEMORY_SHARE).unwrap_or(usize::MAX)
    }

    fn read(&mut self, section: &ini::Section) -> Vec<Finding> {
        let mut keys = Keys::new(section);
        keys.require(&[
            "host",
            "domain",
            "caller_address",
            "ready_address",
            "directory_address",
            "peer_address",
            "metrics_address",
            "store_address",
        ]);
        self.read_place(&mut keys);
        self.read_addresses(&mut keys);
        self.read_times(&mut keys);
        self.read_limits(&mut keys);
        keys.finish()
    }

    fn read_place(&mut self, keys: &mut Keys<'_>) {
        if let Some(it) = keys.text("host") {
            it.clone_into(&mut self.host);
        }
        if let Some(it) = keys.text("domain") {
            self.domain = it.into();
        }
        if let Some(it) = keys.text("region") {
            it.clone_into(&mut self.region);
        }
    }

    fn read_addresses(&mut self, keys: &mut Keys<'_>) {
        let addresses = [
            ("caller_address", &mut self.caller_address),
            ("ready_address", &mut self.ready_address),
            ("directory_address", &mut self.directory_address),
            ("peer_address", &mut self.peer_address),
            ("metrics_address", &mut self.metrics_address),
            ("store_address", &mut self.store_address),
        ];
        for (key, field) in addresses {
            if let Some(it) = keys.address(key) {
                *field = it;
            }
        }
        if let Some(it) = keys.read("seeds", parse_addresses) {
            self.seeds = it;
        }
    }

    fn read_times(&mut self, keys: &mut Keys<'_>) {
        let times = [
            ("config_apply", &mut self.config_apply),
            ("drain", &mut self.drain),
            ("grace", &mut self.grace),
            ("retry_window", &mut self.retry_window),
            ("directory_keep", &mut self.directory_keep),
        ];
        for (key, field) in times {
            if let Some(it) = keys.duration(key, Duration::from_millis(100)..=MAX_TIME) {
                *field = it;
            }
        }
    }

    fn read_limits(&mut self, keys: &mut Keys<'_>) {
        if let Some(it) = keys.number("memory_mb", 16..=1_000_000_u64, "MB") {
            self.memory_bytes = it << 20;
        }
        if let Some(it) = keys.number("descriptor_limit", 64..=10_000_000, "descriptors") {
            self.descriptor_limit = it;
        }
        if let Some(it) = keys.number("link_mbps", 0.1..=1e7, "Mbit/s") {
            self.link_mbps = it;
        }
        if let Some(it) = keys.number("cpu_cores", 0.01..=1e4, "cores") {
            self.cpu_cores = it;
        }
        if let Some(it) = keys.number("retry_ratio", 0.0..=1.0, "of the requests") {
            self.retry_ratio = it;
        }
        if let Some(it) = keys.number("retry_slack", 0.0..=1e6, "attempts") {
            self.retry_slack = it;
        }
        if let Some(it) = keys.number("probe_rate", 0.0..=1e6, "probes a second") {
            self.probe_rate = it;
        }
        let rates = [
            ("success_lines_per_s", &mut self.success_lines_per_s),
            ("failure_lines_per_s", &mut self.failure_lines_per_s),
        ];
        for (key, field) in rates {
            if let Some(it) = keys.number(key, 0..=100_000, "lines a second") {
                *field = it;
            }
        }
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|it| !it.is_empty());
    let parse =
        |it: &str| it.parse().map_err(|_e| format!("`{}` is no `IP:port`", ini::excerpt(it)));
    parts.map(parse).collect()
}
