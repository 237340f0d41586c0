//! A fleet: daemons, backend servers, log and host list.

use std::{
    fmt::Write,
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use daemon::{Process, membership::Intake};
use document::{
    Finding, Publication, Section, Version,
    publication::{self, Change},
};
use standin::{backend::Backend, hosts::Hosts, log::Log};

use crate::Service;

/// Shared secret of the daemons.
const PEERS_TOKEN: &str = "loopback-fleet-token";
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Error of a fleet.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in could not start.
    #[error("stand-in: {0}")]
    Standin(#[from] io::Error),
    /// The document can't be published.
    #[error("document: {0:?}")]
    Document(Vec<Finding>),
    /// A daemon could not start.
    #[error("daemon: {0}")]
    Daemon(#[from] daemon::process::Error),
    /// A condition was not met in time.
    #[error("timed out after {0:?}: {1}")]
    Timeout(Duration, String),
}

/// The result of an operation on a fleet.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of daemons.
    pub daemons: usize,
    /// Services with their backend servers.
    pub services: Vec<Service>,
    /// Settings of each daemon; the fleet sets the addresses.
    pub daemon: daemon::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let daemon = daemon::Settings {
            peers_token: PEERS_TOKEN.into(),
            log_decisions: false,
            ..daemon::Settings::default()
        };
        Self { daemons: 1, services: vec![Service::default()], daemon }
    }
}

/// A running fleet; it stops when it is dropped.
pub struct Fleet {
    /// Running daemons.
    pub daemons: Vec<Process>,
    /// Backend servers by service, in the order of the settings.
    pub backends: Vec<Vec<Backend>>,
    /// The platform's log.
    pub log: Log,
    /// The platform's host list.
    pub hosts: Hosts,
    settings: Settings,
    published: Vec<Section>,
    base: Version,
}

impl Fleet {
    /// Starts a fleet, publishes its document and waits until all daemons serve by it.
    ///
    /// # Errors
    ///
    /// Fails if a daemon or stand-in can't start, or does not serve within 10 s after it has the document.
    pub fn start(settings: Settings) -> Result<Self> {
        let mut res = Self::start_standins(settings)?;
        let version = res.publish(&res.document())?;
        for number in 0..res.settings.daemons {
            let daemon = res.start_daemon(number)?;
            res.daemons.push(daemon);
        }
        res.await_version(version)?;
        res.await_ready()?;
        Ok(res)
    }

    /// Starts only the stand-ins, without daemons, and publishes nothing.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in can't start.
    pub fn start_standins(settings: Settings) -> Result<Self> {
        let mut backends = Vec::new();
        for it in &settings.services {
            let started: io::Result<Vec<_>> =
                (0..it.upstreams).map(|_| Backend::start(it.backend)).collect();
            backends.push(started?);
        }
        Ok(Self {
            daemons: Vec::new(),
            backends,
            log: Log::start(standin::log::Settings::default())?,
            hosts: Hosts::start()?,
            settings,
            published: Vec::new(),
            base: 0,
        })
    }

    /// Starts another daemon, which is not added to [`Fleet::daemons`].
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't start.
    pub fn start_daemon(&self, number: usize) -> Result<Process> {
        self.start_daemon_with(number, |_settings| {})
    }

    /// Starts another daemon with changed settings, which is not added to [`Fleet::daemons`].
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't start.
    pub fn start_daemon_with(
        &self,
        number: usize,
        change: impl FnOnce(&mut daemon::Settings),
    ) -> Result<Process> {
        let mut settings = daemon::Settings {
            log_address: self.log.address(),
            hosts_address: self.hosts.address(),
            domain: ["a", "b", "c"][number % 3].into(),
            peers: self.daemons.first().map(Process::peer_address).into_iter().collect(),
            ..self.settings.daemon.clone()
        };
        change(&mut settings);
        Ok(Process::start(settings)?)
    }

    /// The document of the fleet's services.
    #[must_use]
    pub fn document(&self) -> String {
        let mut res = String::from("[team operations]\nadmin = yes\n");
        for (order, (rank, floor)) in
            [("urgent", 40), ("normal", 25), ("bulk", 10)].iter().enumerate()
        {
            // Writing to a string can't fail.
            let _ = write!(res, "[rank {rank}]\norder = {order}\nfloor_percent = {floor}\n");
        }
        for (service, backends) in self.settings.services.iter().zip(&self.backends) {
            let addresses: Vec<_> = backends.iter().map(Backend::address).collect();
            res.push_str(&service.sections(&addresses));
        }
        res
    }

    /// Publishes the changes in a document and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails if the document can't be split into sections.
    pub fn publish(&mut self, document: &str) -> Result<Version> {
        let sections = document::split(document).map_err(Error::Document)?;
        let publication = Publication {
            id: format!("fleet-{}", self.base).into(),
            author: "operations".into(),
            base: self.base,
            made_at_s: 0,
            note: String::new(),
            changes: Change::between(&self.published, &sections),
        };
        let version = self.log.inject(publication::STREAM, publication.encode().into());
        self.base = version + 1;
        self.published = sections;
        Ok(version)
    }

    /// Waits until every daemon has `version` in force.
    ///
    /// # Errors
    ///
    /// Fails after 10 s.
    pub fn await_version(&self, version: Version) -> Result<()> {
        await_condition(Duration::from_secs(10), &format!("version {version} in force"), || {
            self.daemons.iter().all(|it| it.version() >= Some(version))
        })
    }

    /// Waits until every daemon serves callers, which it does a moment after its first version is in force.
    fn await_ready(&self) -> Result<()> {
        let serves =
            |it: &Process| it.state().membership().is_some_and(|it| it.intake() == Intake::Serve);
        await_condition(Duration::from_secs(10), "every daemon serves", || {
            self.daemons.iter().all(serves)
        })
    }

    /// Waits until every daemon directs callers to `hosts` entry hosts.
    ///
    /// # Errors
    ///
    /// Fails after 20 s.
    pub fn await_hosts(&self, hosts: usize) -> Result<()> {
        await_condition(
            Duration::from_secs(20),
            &format!("every daemon directs callers to {hosts} hosts"),
            || self.daemons.iter().all(|it| it.state().entry_hosts("anyone").len() == hosts),
        )
    }

    /// Address at which a daemon accepts callers.
    #[must_use]
    pub fn address(&self, number: usize) -> SocketAddr {
        self.daemons[number].caller_address()
    }
}

/// Waits until a condition is met.
///
/// # Errors
///
/// Fails after `limit`; `what` describes the condition.
pub fn await_condition(
    limit: Duration,
    what: &str,
    mut is_met: impl FnMut() -> bool,
) -> Result<()> {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() > limit {
            return Err(Error::Timeout(limit, what.to_owned()));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
