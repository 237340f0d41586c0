//! A daemon that runs as a separate process.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use platform_standin::{config, loopback};
use rustix::process::{Pid, Signal, kill_process};

/// Time-out of the readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Ports of the daemons of a fleet: all use the same, each on an IP address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    caller: u16,
    ready: u16,
    directory: u16,
    metrics: u16,
    peer: u16,
}

impl Ports {
    /// Returns ports that no other fleet of this process uses.
    #[must_use]
    pub fn next() -> Self {
        let [caller, ready, directory, metrics, peer] = [(); 5].map(|()| loopback::port());
        Self { caller, ready, directory, metrics, peer }
    }
}

/// A daemon's process and settings.
///
/// Its process is killed when this is dropped.
pub struct Daemon {
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    ready_address: SocketAddr,
    directory_address: SocketAddr,
    child: Option<Child>,
    /// Number of starts.
    pub(crate) starts: Arc<AtomicU64>,
}

impl Daemon {
    /// Writes the settings of a daemon on the loopback address for `number`, without starting it.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be written.
    pub fn new(
        options: &crate::Options,
        number: u8,
        ports: Ports,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let address = |port| SocketAddr::from((loopback::fleet_ip(number), port));
        let (caller_address, ready_address) = (address(ports.caller), address(ports.ready));
        let (directory_address, metrics_address) =
            (address(ports.directory), address(ports.metrics));
        let peer = |it| SocketAddr::from((loopback::fleet_ip(it), ports.peer)).to_string();
        let seeds: Vec<_> = (0..options.daemons).filter(|it| *it != number).map(peer).collect();
        let settings = options.folder.join(format!("daemon-{number}.ini"));
        let domain = if number == 1 { "b" } else { "a" };
        let text = format!(
            "[gateway]\nhost = daemon-{number}\ndomain = {domain}\ncaller_address = {caller_address}\n\
             ready_address = {ready_address}\ndirectory_address = {directory_address}\npeer_address = {}\n\
             metrics_address = {metrics_address}\nseeds = {}\nstore_address = {store}\n\
             failure_lines_per_s = 500\nconfig_apply = {}ms\n\
             grace = {}ms\n",
            peer(number),
            seeds.join(","),
            options.config_apply.as_millis(),
            options.grace.as_millis()
        );
        fs::write(&settings, text)?;
        let log = options.folder.join(format!("daemon-{number}.log"));
        let program = options.daemon.clone();
        Ok(Self {
            caller_address,
            program,
            settings,
            log,
            ready_address,
            directory_address,
            child: None,
            starts: Arc::default(),
        })
    }

    /// Starts the process; its output is appended to a file in the folder of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        self.restore_address()?;
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        self.starts.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        pid.map_or(Ok(()), |it| kill_process(it, signal).map_err(io::Error::from))
    }

    /// Gives the settings the callers' address again that they began with.
    fn restore_address(&self) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let own = self.caller_address.to_string();
        fs::write(&self.settings, with_setting(&text, "caller_address", &own))
    }

    /// Replaces the settings by what `change` makes of them, and has the process read them.
    pub(crate) fn change_settings(&self, change: impl FnOnce(&str) -> String) -> io::Result<()> {
        fs::write(&self.settings, change(&fs::read_to_string(&self.settings)?))?;
        self.signal(Signal::HUP)
    }

    /// Sends a request to the daemon's directory and returns the answer.
    pub(crate) fn ask_directory(&self, request: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.directory_address, READY_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_TIMEOUT))?;
        stream.write_all(request.as_bytes())?;
        let mut res = String::new();
        stream.read_to_string(&mut res)?;
        Ok(res)
    }

    /// Whether the process has exited.
    pub(crate) fn has_ended(&mut self) -> io::Result<bool> {
        match &mut self.child {
            Some(it) => Ok(it.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Waits until the process exits and kills it after `timeout`. Returns whether it exited by
    /// itself.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be waited for.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<bool> {
        let Some(mut child) = self.child.take() else { return Ok(true) };
        let until = Instant::now() + timeout;
        loop {
            if child.try_wait()?.is_some() {
                return Ok(true);
            }
            if Instant::now() >= until {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        child.kill()?;
        child.wait()?;
        Ok(false)
    }

    /// Peak resident memory of the process in bytes, or `None` if the process doesn't run.
    pub(crate) fn peak_bytes(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Whether the daemon's readiness check succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let query = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready_address, READY_TIMEOUT)?;
            stream.set_read_timeout(Some(READY_TIMEOUT))?;
            let request = config::request("GET", "/fireflydrum/ready", "ready", true);
            stream.write_all(request.as_bytes())?;
            let mut answer = [0; 12];
            stream.read_exact(&mut answer)?;
            Ok(answer.ends_with(b"200"))
        };
        query().unwrap_or(false)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut it) = self.child.take() {
            // The process may have exited already.
            drop(it.kill());
            drop(it.wait());
        }
    }
}

/// Replaces the value of a key in settings with one section, or adds it.
pub(crate) fn with_setting(text: &str, key: &str, value: &str) -> String {
    let prefix = format!("{key} = ");
    let mut lines: Vec<_> = text.lines().filter(|it| !it.starts_with(&prefix)).collect();
    let line = format!("{prefix}{value}");
    lines.push(&line);
    lines.join("\n") + "\n"
}
