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

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Bounds of a deployment that the settings of a daemon hold.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u32,
    pub config_apply_ms: u32,
    pub grace_s: u32,
    pub memory_mb: u32,
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
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
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
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let Addresses { caller, ready, directory, peer, metrics } = &addresses;
        let Bounds { drain_ms, config_apply_ms, grace_s, memory_mb } = bounds;
        let text = format!(
            "[gateway]\nhost = {name}\ndomain = {zone}\nregion = region\nregions = {zone}:region\n\
             caller_address = {caller}\nready_address = {ready}\ndirectory_address = {directory}\n\
             peer_address = {peer}\nmetrics_address = {metrics}\nseeds = {}\nfirst_start = true\n\
             store_address = {store}\nmemory_mb = {memory_mb}\nlink_mbps = 2500.0\ncpu_cores = 0.5\n\
             descriptor_limit = 10250\nconfig_apply = {config_apply_ms}ms\ndrain = {drain_ms}ms\n\
             grace = {grace_s}s\nretry_ratio = 0.2\nretry_slack = 56\nretry_window = 10s\n\
             probe_rate = 60\ndirectory_keep = 2s\nsuccess_lines_per_s = 2\nfailure_lines_per_s = 50\n",
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &settings, &log)?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Self { addresses, child })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> bool {
        let id = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &id]).status().is_ok_and(|it| it.success())
    }

    /// Waits until the readiness check answers 200.
    pub fn await_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if status(self.addresses.ready, "/fireflydrum/ready") == Some(200) {
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

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let errors = log.try_clone()?;
    Command::new(program).arg(settings).stdin(Stdio::null()).stdout(log).stderr(errors).spawn()
}

/// Status of the answer to a `GET`.
pub fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split(' ').nth(1)?.parse().ok()
}
