//! A service of a fleet and its routes.

use std::{fmt::Write, net::SocketAddr};

use standin::backend;

/// A service of a fleet. `/NAME` is routed to it; `GET` is idempotent and `POST` is not.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service, and its path without the `/`.
    pub name: String,
    /// Rank of the requests.
    pub rank: String,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Capacity and speed of each upstream.
    pub backend: backend::Settings,
    /// Deadline of the routes, in milliseconds.
    pub deadline_ms: u64,
    /// Whether `POST` without an idempotency key is allowed.
    pub allow_unkeyed: bool,
    /// Additional keys of the section `[service NAME]`, one per line.
    pub extra_keys: String,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: "stock".into(),
            rank: "urgent".into(),
            upstreams: 3,
            backend: backend::Settings::default(),
            deadline_ms: 2_000,
            allow_unkeyed: false,
            extra_keys: String::new(),
        }
    }
}

impl Service {
    /// Services in each of three ranks, all with the same backend settings.
    #[must_use]
    pub fn one_per_rank(backend: backend::Settings) -> Vec<Self> {
        let service = |(name, rank): (&str, &str)| Self {
            name: name.into(),
            rank: rank.into(),
            backend,
            ..Self::default()
        };
        [("stock", "urgent"), ("booking", "normal"), ("documents", "bulk")].map(service).into()
    }

    /// The document sections of the service.
    #[must_use]
    pub fn sections(&self, addresses: &[SocketAddr]) -> String {
        let Self { name, rank, deadline_ms, extra_keys, .. } = self;
        let slots = self.backend.slots;
        let connections = self.backend.connections;
        let unkeyed = if self.allow_unkeyed { "yes" } else { "no" };
        let mut res = format!("[service {name}]\nowner = operations\n{extra_keys}\n");
        for (method, idempotent) in [("GET", "yes"), ("POST", "no")] {
            let id = format!("{name}-{}", method.to_lowercase());
            let key = if idempotent == "no" {
                format!("allow_unkeyed = {unkeyed}\n")
            } else {
                String::new()
            };
            // Writing to a string can't fail.
            let _ = write!(
                res,
                "[route {id}]\nservice = {name}\nmethod = {method}\npath = /{name}\nrank = {rank}\n\
                 idempotent = {idempotent}\n{key}deadline = {deadline_ms}ms\n",
            );
        }
        for (number, address) in addresses.iter().enumerate() {
            let domain = ["a", "b", "c"][number % 3];
            let _ = write!(
                res,
                "[upstream {name}-{number}]\nservice = {name}\naddress = {address}\n\
                 domain = {domain}\nslots = {slots}\nconnections = {connections}\n",
            );
        }
        res
    }
}
