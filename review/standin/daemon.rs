//! The platform's part: settings from the template of the deploy file, and the process itself.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, Reader},
    store::Store,
};

/// Figures that differ between deployments.
#[derive(Clone, Copy)]
pub struct Site {
    pub memory_mb: u32,
    pub drain_ms: u32,
    pub config_apply_ms: u32,
    pub grace_s: u32,
    pub retry_slack: u32,
}

/// The small deployment of `sites/ebsa-gateway.toml`.
pub const EBSA: Site =
    Site { memory_mb: 650, drain_ms: 2_000, config_apply_ms: 2_000, grace_s: 6, retry_slack: 56 };
/// The deployment of `grown/ebsa-gateway-grown.toml`.
pub const EBSA_GROWN: Site =
    Site { memory_mb: 387, drain_ms: 2_500, config_apply_ms: 2_500, grace_s: 6, retry_slack: 186 };

/// Longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(112);

/// Ids of the daemons that have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and all processes that it has started, if it takes too long.
pub fn watch() {
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        for pid in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        }
        std::process::exit(2);
    });
}

/// Folder of the settings and logs of this case's daemons.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// A running daemon. It is killed when this is dropped.
pub struct Daemon {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    child: Child,
}

/// Starts `count` daemons, each at a loopback address of its own, and waits until all are ready.
pub fn start(store: &Store, site: Site, count: u8) -> Result<Vec<Daemon>, String> {
    let folder = folder();
    fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let ports = free_ports(5)?;
    let address = |number: u8| Ipv4Addr::new(127, 0, 0, 10 + number);
    let seeds: Vec<_> =
        (0..count.min(3)).map(|it| format!("{}:{}", address(it), ports[3])).collect();
    let template = fs::read_to_string("deploy/gateway.ini").map_err(|e| e.to_string())?;
    let mut daemons = Vec::new();
    for number in 0..count {
        let ip = address(number);
        let values = [
            ("node", format!("edge-zone-{number}-1")),
            ("zone", format!("zone-{number}")),
            ("region", "region".to_owned()),
            ("listen.front", format!("{ip}:{}", ports[0])),
            ("listen.ready", format!("{ip}:{}", ports[1])),
            ("listen.directory", format!("{ip}:{}", ports[2])),
            ("ip", ip.to_string()),
            ("internal_ports.0", ports[3].to_string()),
            ("internal_ports.1", ports[4].to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", "true".to_owned()),
            ("platform.address", store.address.to_string()),
            ("limits.memory_mb", site.memory_mb.to_string()),
            ("limits.link_mbps", "2500.0".to_owned()),
            ("limits.cpu_share", "0.5".to_owned()),
            ("limits.max_fds", "10250".to_owned()),
            ("bounds.config_apply_ms", site.config_apply_ms.to_string()),
            ("bounds.drain_ms", site.drain_ms.to_string()),
            ("bounds.grace_period_s", site.grace_s.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", site.retry_slack.to_string()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.probes_per_s", "60".to_owned()),
        ];
        let mut text = template.clone();
        for (name, value) in &values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        if text.contains("{{") {
            return Err(format!("a field of the template is not known: {text}"));
        }
        let settings = folder.join(format!("settings-{number}.toml"));
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.join(format!("log-{number}.txt")))
            .map_err(|e| e.to_string())?;
        let child = Command::new(PathBuf::from("target/release/fireflydrumd"))
            .arg(&settings)
            .env("FIREFLYDRUM_SETTINGS", &settings)
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|e| format!("target/release/fireflydrumd: {e}"))?;
        RUNNING.lock().unwrap().push(child.id());
        let at = |port: usize| SocketAddr::from((ip, ports[port]));
        daemons.push(Daemon { callers: at(0), ready: at(1), directory: at(2), child });
    }
    let until = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > until {
            return Err("a daemon is not ready within 15 s".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    // Time for the daemons to find each other.
    thread::sleep(Duration::from_secs(3));
    Ok(daemons)
}

impl Daemon {
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/fireflydrum/ready").is_some_and(|(head, _)| head.status() == 200)
    }

    /// Addresses that the directory of this daemon returns, as text, and their `ttl_s`.
    pub fn resolve(&self) -> Option<(String, f64)> {
        let target = "/fireflydrum/resolve?name=hulo84.example&region=region&zone=zone-0";
        let (head, body) = get(self.directory, target)?;
        let ttl = body.split("\"ttl_s\":").nth(1)?.trim_end_matches('}').parse().ok()?;
        (head.status() == 200).then_some((body, ttl))
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.signal("KILL");
    }

    /// Sends a signal. The process has not been waited for, so its id is still its own.
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    }

    /// Whether the process has ended by itself; kills it otherwise.
    pub fn end(mut self) -> bool {
        // Dropping this kills and removes it.
        let mut running = RUNNING.lock().unwrap();
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        running.retain(|it| !has_ended || *it != self.child.id());
        has_ended
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or("0");
        let kb = line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0);
        kb / 1_024
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The watch must not meet an id that has been given to another process.
        let mut running = RUNNING.lock().unwrap();
        let _ = self.child.kill();
        let _ = self.child.wait();
        running.retain(|it| *it != self.child.id());
    }
}

fn get(address: SocketAddr, target: &str) -> Option<(Head, String)> {
    use std::io::Write;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = Reader::new(stream);
    let head = reader.head().ok()??;
    let body = reader.body(head.length()?).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// Ports that were free a moment ago.
fn free_ports(count: usize) -> Result<Vec<u16>, String> {
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| TcpListener::bind("127.0.0.10:0")).collect();
    let listeners = listeners.map_err(|e| e.to_string())?;
    listeners.iter().map(|it| Ok(it.local_addr().map_err(|e| e.to_string())?.port())).collect()
}
