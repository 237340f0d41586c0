//! Settings of a daemon whose configuration and upstreams are kept by the platform.

mod figures;
mod reload;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use figures::Figures;
use ini::{Finding, Keys};

use crate::{config::Region, registry::Domain};

/// Settings, or all findings about the text.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;

/// Name of the INI section.
pub const SECTION: &str = "gateway";
/// Shortest and longest duration used for a setting.
const MIN_DURATION: Duration = Duration::from_millis(100);
const MAX_DURATION: Duration = Duration::from_mins(10);
/// Share of the host's memory that the process may use, as 4 in 5.
const MEMORY_SHARE: (u64, u64) = (4, 5);
/// Least memory set aside for what isn't counted: the program itself, configuration, registry,
/// peers and the log queue. A daemon that has just started uses 10 MB; 20 MB in a debug build.
const RUNTIME_BYTES: u64 = 22 << 20;
/// One part in this many of the host's memory is the receive buffer of a caller's connection.
const RECEIVE_BUFFER_DIVISOR: u64 = 2_048;
/// Smallest and largest receive buffer, in bytes. 64 kB carry 50 Mbit/s at a round trip of 10 ms.
const RECEIVE_BUFFER_BYTES: (usize, usize) = (64 << 10, 256 << 10);
/// Memory set aside beyond what isn't counted, in bytes and as one part in this many of the share: the
/// allocator's losses grow between two measurements, and answers in progress may exceed the limit. With
/// 2 MiB, a daemon of 64 MB exceeded its share by 1 % on a busy machine.
const MARGIN_BYTES: u64 = 4 << 20;
const MARGIN_DIVISOR: u64 = 16;
/// One part in this many of the process's share is for callers in any case: a process that also hosts
/// something else still serves. With two thirds, the measurement had no effect below 83 MB: a debug
/// build of 64 MB used 28 MB besides bodies while 22 MiB were set aside.
const MIN_CALLER_DIVISOR: u64 = 4;

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
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the directory of entry hosts.
    pub directory_address: SocketAddr,
    /// Address for datagrams and calls of peers.
    pub peer_address: SocketAddr,
    /// Address where the metrics are served.
    pub metrics_address: SocketAddr,
    /// Hosts on which daemons may already be running. The port is replaced by that of
    /// `peer_address`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that no callers wait for it.
    pub is_first_start: bool,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Memory of the host, in bytes.
    pub memory_bytes: u64,
    /// Bandwidth of the host's link, in Mbit/s.
    pub link_mbps: f64,
    /// Processor time that the daemon may use, in cores.
    pub cpu_cores: f64,
    /// Maximum number of file descriptors for sockets.
    pub descriptor_limit: usize,
    /// Time within which a new configuration must be in force on every daemon.
    pub config_apply: Duration,
    /// Time after which a leaving upstream must get no new request.
    pub drain: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Attempts beyond the first, as a ratio of a service's requests.
    pub retry_ratio: f64,
    /// Additional fixed allowance of attempts beyond the first, for all daemons together.
    pub retry_slack: f64,
    /// Sliding window of the retry budget.
    pub retry_window: Duration,
    /// Probes per second that all daemons together may send per upstream.
    pub probe_rate: f64,
    /// Requests per second that a cold upstream may get, as a multiple of what it tolerates.
    pub slow_start_overshoot: f64,
    /// Requests that a cold upstream may get in addition in any second, from all daemons together.
    pub slow_start_slack: f64,
    /// Sliding window of the tenants' quotas.
    pub quota_window: Duration,
    /// Share by which a tenant's requests in one window may exceed its quota.
    pub quota_overshoot: f64,
    /// Requests by which a tenant may exceed its quota in one window in addition.
    pub quota_slack: f64,
    /// Regions of the failure domains.
    pub regions: BTreeMap<Domain, Region>,
    /// Time for which callers may cache the addresses of entry hosts.
    pub directory_keep: Duration,
    /// Maximum number of log lines per second for requests that succeed.
    pub success_lines_per_s: u32,
    /// Maximum number of log lines per second for requests that fail or are repeated, per reason.
    pub failure_lines_per_s: u32,
    /// Findings about figures that can't be used as they are given, and what is used instead.
    pub replaced: Vec<Finding>,
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
            is_first_start: false,
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
            slow_start_overshoot: 1.5,
            slow_start_slack: 8.0,
            quota_window: Duration::from_secs(5),
            quota_overshoot: 0.1,
            quota_slack: 20.0,
            regions: BTreeMap::new(),
            directory_keep: Duration::from_secs(2),
            success_lines_per_s: 2,
            failure_lines_per_s: 50,
            replaced: Vec::new(),
        }
    }
}

impl Settings {
    /// Whether `text` contains the section `[gateway]`.
    #[must_use]
    pub fn has_section(text: &str) -> bool {
        ini::sections(text).0.iter().any(|it| it.name == SECTION)
    }

    /// Parses the settings from an INI file with one section `[gateway]`. A figure that can't be used
    /// is replaced, with a finding in [`Self::replaced`].
    ///
    /// # Errors
    ///
    /// All findings with their lines, if the daemon can't run with the settings.
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

    /// Memory that may be held for callers, in bytes, when the process uses `uncounted` bytes for
    /// other things.
    #[must_use]
    pub fn caller_memory_bytes(&self, uncounted: u64) -> usize {
        let share = self.memory_bytes / MEMORY_SHARE.1 * MEMORY_SHARE.0;
        let margin = MARGIN_BYTES + share / MARGIN_DIVISOR;
        let rest = share.saturating_sub((uncounted + margin).max(RUNTIME_BYTES));
        usize::try_from(rest.max(share / MIN_CALLER_DIVISOR)).unwrap_or(usize::MAX)
    }

    /// Receive buffer of a caller's connection, in bytes. Bytes that were received and not yet read
    /// use the host's memory as well.
    #[must_use]
    pub fn receive_buffer_bytes(&self) -> usize {
        let (min, max) = RECEIVE_BUFFER_BYTES;
        usize::try_from(self.memory_bytes / RECEIVE_BUFFER_DIVISOR)
            .map_or(max, |it| it.clamp(min, max))
    }

    /// Region of a failure domain, if it is known.
    #[must_use]
    pub fn region_of(&self, domain: &Domain) -> Option<&Region> {
        self.regions.get(domain)
    }

    /// Whether this daemon takes configuration and registry from its peers when it starts: on the
    /// first start of a fleet only the seeds read the store, and the others have time to wait.
    #[must_use]
    pub fn starts_from_peers(&self) -> bool {
        let is_seed = self.seeds.iter().any(|it| it.ip() == self.peer_address.ip());
        self.is_first_start && !self.seeds.is_empty() && !is_seed
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
        self.read_host(&mut keys);
        self.read_addresses(&mut keys);
        let mut figures = Figures::new(section, &mut keys);
        self.read_durations(&mut figures);
        self.read_limits(&mut figures);
        self.replaced = figures.finish();
        keys.finish()
    }

    fn read_host(&mut self, keys: &mut Keys<'_>) {
        if let Some(it) = keys.text("host") {
            it.clone_into(&mut self.host);
        }
        if let Some(it) = keys.text("domain") {
            self.domain = it.into();
        }
        if let Some(it) = keys.text("region") {
            it.clone_into(&mut self.region);
        }
        if let Some(it) = keys.read("regions", parse_regions) {
            self.regions = it;
        }
        self.add_own_region();
    }

    /// Without a list, the host knows its own region at least.
    fn add_own_region(&mut self) {
        if !self.region.is_empty() {
            let own = self.region.as_str().into();
            self.regions.entry(self.domain.clone()).or_insert(own);
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
        // The platform's own words for it.
        if let Some(it) = keys.one_of("first_start", &["true", "false"]) {
            self.is_first_start = it == "true";
        }
    }

    fn read_durations(&mut self, figures: &mut Figures<'_, '_>) {
        let durations = [
            ("config_apply", &mut self.config_apply),
            ("drain", &mut self.drain),
            ("grace", &mut self.grace),
            ("retry_window", &mut self.retry_window),
            ("quota_window", &mut self.quota_window),
            ("directory_keep", &mut self.directory_keep),
        ];
        for (key, field) in durations {
            figures.duration(key, &(MIN_DURATION..=MAX_DURATION), field);
        }
    }

    fn read_limits(&mut self, figures: &mut Figures<'_, '_>) {
        let mut memory_mb = self.memory_bytes >> 20;
        figures.whole("memory_mb", 16..=1_000_000, &mut memory_mb);
        self.memory_bytes = memory_mb << 20;
        let mut descriptors = self.descriptor_limit as u64;
        figures.whole("descriptor_limit", 64..=10_000_000, &mut descriptors);
        self.descriptor_limit = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let numbers = [
            ("link_mbps", 0.1..=1e7, &mut self.link_mbps),
            ("cpu_cores", 0.01..=1e4, &mut self.cpu_cores),
            ("retry_ratio", 0.0..=1.0, &mut self.retry_ratio),
            ("retry_slack", 0.0..=1e6, &mut self.retry_slack),
            ("probe_rate", 0.0..=1e6, &mut self.probe_rate),
            ("slow_start_overshoot", 1.0..=100.0, &mut self.slow_start_overshoot),
            ("slow_start_slack", 0.0..=1e6, &mut self.slow_start_slack),
            ("quota_overshoot", 0.0..=100.0, &mut self.quota_overshoot),
            ("quota_slack", 0.0..=1e6, &mut self.quota_slack),
        ];
        for (key, range, field) in numbers {
            figures.number(key, range, field);
        }
        let rates = [
            ("success_lines_per_s", &mut self.success_lines_per_s),
            ("failure_lines_per_s", &mut self.failure_lines_per_s),
        ];
        for (key, field) in rates {
            let mut rate = u64::from(*field);
            figures.whole(key, 0..=100_000, &mut rate);
            *field = u32::try_from(rate).unwrap_or(u32::MAX);
        }
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text.split(',').map(str::trim).filter(|it| !it.is_empty());
    let parse =
        |it: &str| it.parse().map_err(|_e| format!("`{}` is no `IP:port`", ini::excerpt(it)));
    parts.map(parse).collect()
}

fn parse_regions(text: &str) -> Result<BTreeMap<Domain, Region>, String> {
    let parts = text.split(',').map(str::trim).filter(|it| !it.is_empty());
    let parse = |it: &str| {
        let (domain, region) = it
            .split_once(':')
            .ok_or_else(|| format!("`{}` is no `domain:region`", ini::excerpt(it)))?;
        Ok((domain.trim().into(), region.trim().into()))
    };
    parts.map(parse).collect()
}
