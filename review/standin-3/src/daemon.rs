//! The project's daemon as a process of its own.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;

/// The template that the deploy file names.
const TEMPLATE: &str = "deploy/fleet.ini";
/// Time within which a daemon must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Addresses and bounds of a daemon, those of a small deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub host: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    pub store: SocketAddr,
}

impl Settings {
    pub fn new(host: &str, store: SocketAddr) -> Self {
        Self {
            host: host.to_owned(),
            caller: free(),
            ready: free(),
            directory: free(),
            peer: free(),
            metrics: free(),
            store,
        }
    }

    /// The text that the platform makes of the deploy file's template.
    fn text(&self) -> Result<String, String> {
        let template = fs::read_to_string(TEMPLATE).map_err(|e| format!("{TEMPLATE}: {e}"))?;
        let (ip, port) = (self.peer.ip(), self.peer.port());
        let fields = [
            ("{{node}}", self.host.clone()),
            ("{{zone}}", "a".to_owned()),
            ("{{region}}", "r".to_owned()),
            ("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "a:r".to_owned()),
            ("{{listen.front}}", self.caller.to_string()),
            ("{{listen.ready}}", self.ready.to_string()),
            ("{{listen.directory}}", self.directory.to_string()),
            ("{{ip}}", ip.to_string()),
            ("{{internal_ports.0}}", port.to_string()),
            ("{{internal_ports.1}}", self.metrics.port().to_string()),
            ("{{seeds}}", String::new()),
            ("{{bootstrap}}", "false".to_owned()),
            ("{{platform.address}}", self.store.to_string()),
            ("{{limits.memory_mb}}", "650".to_owned()),
            ("{{limits.link_mbps}}", "2500.0".to_owned()),
            ("{{limits.cpu_share}}", "0.5".to_owned()),
            ("{{limits.max_fds}}", "10250".to_owned()),
            ("{{bounds.config_apply_ms}}", "2000".to_owned()),
            ("{{bounds.drain_ms}}", "2000".to_owned()),
            ("{{bounds.grace_period_s}}", "6".to_owned()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_budget_slack}}", "56".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.probes_per_s}}", "60".to_owned()),
        ];
        // Sections for bounds that a small deployment doesn't have.
        let lines = template.lines().filter(|it| !it.starts_with("{{#bounds."));
        let mut text = lines.map(|it| format!("{it}\n")).collect::<String>();
        for (name, value) in fields {
            text = text.replace(name, &value);
        }
        let unknown = text.lines().find(|it| it.contains("{{"));
        unknown.map_or(Ok(text.clone()), |it| Err(format!("{TEMPLATE}: unknown field in `{it}`")))
    }
}

/// A running daemon, killed when it is dropped.
pub struct Daemon {
    pub settings: Settings,
    folder: PathBuf,
    child: Child,
    record: Record,
}

impl Daemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(record: &Record, program: &str, settings: Settings) -> Result<Self, String> {
        let name = format!("fireflydrum-review-{}-{}", std::process::id(), settings.host);
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|e| format!("no temporary folder: {e}"))?;
        let file = folder.join("settings.ini");
        fs::write(&file, settings.text()?).map_err(|e| format!("no settings: {e}"))?;
        let child = spawn(program, &folder).map_err(|e| format!("{program}: {e}"))?;
        record.line(&format!("daemon {}: starts, store {}", settings.host, settings.store));
        let record = record.clone();
        let mut res = Self { settings, folder, child, record };
        res.wait_ready().map(|()| res)
    }

    /// Waits until the daemon is ready; fails if it ends or takes too long.
    fn wait_ready(&mut self) -> Result<(), String> {
        let host = self.settings.host.clone();
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("daemon {host} has ended by itself: {status}"));
            }
            if Instant::now() > until {
                return Err(format!("daemon {host} is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("daemon {host}: ready"));
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /fireflydrum/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let res = http::call(self.settings.ready, request, Duration::from_secs(1));
        res.is_ok_and(|it| it.status() == 200)
    }

    /// Writes the settings file again.
    pub fn change_settings(&self, settings: &Settings) {
        let text = settings.text().expect("the template was read before");
        fs::write(self.folder.join("settings.ini"), text).expect("it was written before");
        let Settings { host, store, .. } = settings;
        self.record.line(&format!("daemon {host}: settings file changed, store {store}"));
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids are small");
        // Only a process that this one has started, and not waited for yet, has this id.
        unsafe { kill(pid, signal) };
        self.record.line(&format!("daemon {}: signal {signal}", self.settings.host));
    }

    /// Lines of its log that contain `text`.
    pub fn log(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

fn spawn(program: &str, folder: &Path) -> std::io::Result<Child> {
    let log = |name| fs::File::options().create(true).append(true).open(folder.join(name));
    let mut command = Command::new(program);
    command.arg(folder.join("settings.ini")).stdout(Stdio::from(log("log")?));
    command.stderr(Stdio::from(log("errors")?)).spawn()
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An address that is free for both TCP and UDP.
pub fn free() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
