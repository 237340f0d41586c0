//! The project's own daemons, as processes of their own.

use std::{
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::Path,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Template of the settings that the deploy file names.
const TEMPLATE: &str = "deploy/fleet.ini";

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Figures of a deployment from which the platform fills in the settings, as it writes them.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: &'static str,
    pub config_apply_ms: &'static str,
    pub grace_s: &'static str,
    pub memory_mb: &'static str,
}

/// Addresses of one daemon.
#[derive(Clone)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
}

/// A daemon that runs; it is killed when this is dropped.
pub struct Daemon {
    pub addresses: Addresses,
    child: Child,
}

/// Loopback address of a host.
fn host(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, number).into()
}

/// Free addresses of `count` hosts, the first of which is 127.0.0.2. All have the same port for peers.
pub fn addresses(count: u8) -> io::Result<Vec<Addresses>> {
    let hosts: Vec<_> = (2..2 + count).map(host).collect();
    let (peer_port, _held) = (0..50)
        .find_map(|_| shared_port(&hosts).ok())
        .ok_or_else(|| io::Error::other("no port is free on all hosts"))?;
    // Held until all are known, so that no port is given twice.
    let mut held = Vec::new();
    let mut free = |host| {
        let listener = TcpListener::bind((host, 0))?;
        let res = listener.local_addr();
        held.push(listener);
        res
    };
    let mut res = Vec::new();
    for host in hosts {
        res.push(Addresses {
            caller: free(host)?,
            ready: free(host)?,
            directory: free(host)?,
            peer: SocketAddr::new(host, peer_port),
            metrics: free(host)?,
        });
    }
    Ok(res)
}

/// A port that is free on all hosts, for connections and for datagrams.
fn shared_port(hosts: &[IpAddr]) -> io::Result<(u16, Vec<(TcpListener, UdpSocket)>)> {
    let mut port = 0;
    let mut held = Vec::new();
    for host in hosts {
        let listener = TcpListener::bind((*host, port))?;
        port = listener.local_addr()?.port();
        held.push((listener, UdpSocket::bind((*host, port))?));
    }
    Ok((port, held))
}

/// Kills all daemons that still run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        kill("KILL", id);
    }
}

/// Sends a signal to a process; `kill` is a command of the shell, as not every system has the program.
fn kill(signal: &str, id: u32) -> bool {
    let command = format!("kill -{signal} {id}");
    Command::new("sh").args(["-c", &command]).status().is_ok_and(|it| it.success())
}

impl Daemon {
    /// Starts the program of the deploy file with settings as its template gives them.
    pub fn start(
        program: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        addresses: Addresses,
        seeds: &[SocketAddr],
        store: SocketAddr,
        bounds: &Bounds,
    ) -> io::Result<Self> {
        let text =
            render(&fs::read_to_string(TEMPLATE)?, name, zone, &addresses, seeds, store, bounds);
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &settings, &log)?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Self { addresses, child })
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|it| it.to_string())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> bool {
        kill(name, self.child.id())
    }

    /// Waits until the readiness check answers 200.
    pub fn await_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if status(self.addresses.ready, "ready", "/fireflydrum/ready") == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let id = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|it| *it != id);
    }
}

/// Fills in the template as the platform does.
fn render(
    template: &str,
    name: &str,
    zone: &str,
    addresses: &Addresses,
    seeds: &[SocketAddr],
    store: SocketAddr,
    bounds: &Bounds,
) -> String {
    let Addresses { caller, ready, directory, peer, metrics } = addresses;
    let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
    let (ip, peer_port) = (peer.ip().to_string(), peer.port().to_string());
    let values = [
        ("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", &format!("{zone}:region-a")),
        ("{{node}}", &name.to_owned()),
        ("{{zone}}", &zone.to_owned()),
        ("{{region}}", &"region-a".to_owned()),
        ("{{listen.front}}", &caller.to_string()),
        ("{{listen.ready}}", &ready.to_string()),
        ("{{listen.directory}}", &directory.to_string()),
        ("{{ip}}:{{internal_ports.1}}", &metrics.to_string()),
        ("{{ip}}", &ip),
        ("{{internal_ports.0}}", &peer_port),
        ("{{seeds}}", &seeds.join(",")),
        ("{{bootstrap}}", &"true".to_owned()),
        ("{{platform.address}}", &store.to_string()),
        ("{{limits.memory_mb}}", &bounds.memory_mb.to_owned()),
        ("{{limits.link_mbps}}", &"2500.0".to_owned()),
        ("{{limits.cpu_share}}", &"0.5".to_owned()),
        ("{{limits.max_fds}}", &"10250".to_owned()),
        ("{{bounds.config_apply_ms}}", &bounds.config_apply_ms.to_owned()),
        ("{{bounds.drain_ms}}", &bounds.drain_ms.to_owned()),
        ("{{bounds.grace_period_s}}", &bounds.grace_s.to_owned()),
        ("{{bounds.retry_budget_ratio}}", &"0.2".to_owned()),
        ("{{bounds.retry_budget_slack}}", &"56".to_owned()),
        ("{{bounds.budget_window_s}}", &"10".to_owned()),
        ("{{bounds.probes_per_s}}", &"60".to_owned()),
    ];
    // Sections of bounds that the deployment doesn't have.
    let lines = template.lines().filter(|it| !it.starts_with("{{#bounds."));
    let mut text: String = lines.map(|it| format!("{it}\n")).collect();
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    text
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let errors = log.try_clone()?;
    Command::new(program).arg(settings).stdin(Stdio::null()).stdout(log).stderr(errors).spawn()
}

/// Status of the answer to a `GET`.
pub fn status(address: SocketAddr, host: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Fireflydrum-Request-Id: 5f0c\r\n\
         X-Fireflydrum-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
