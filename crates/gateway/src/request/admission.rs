//! Route and tenant of a request under a configuration.

use std::{rc::Rc, sync::Arc};

use super::{Refusal, Result, find};
use crate::{
    Settings,
    config::{Gap, Route, Table, Tenant},
    gateway::Gateway,
    http::Head,
    load::Domains,
    registry::Registration,
};

/// Route and tenant of a request that a configuration allows.
pub(super) struct Admission {
    /// The configuration.
    pub(super) table: Rc<Table>,
    /// Route that matches.
    pub(super) route: Arc<Route>,
    /// Settings that say in which regions the failure domains are.
    pub(super) settings: Rc<Settings>,
    /// Failure domains in the homes of the route.
    pub(super) domains: Domains,
    /// Tenant with the request's key; always present on routes that need a key.
    pub(super) tenant: Option<Arc<Tenant>>,
}

impl Admission {
    /// Finds route and tenant of a request.
    ///
    /// # Errors
    ///
    /// Refuses a request without a route, or without a valid key on a route that needs one.
    pub(super) fn new(gateway: &Gateway, table: Rc<Table>, head: &Head) -> Result<Self> {
        let route = find(&table, head)?;
        let tenant = tenant(&table, &route, head, gateway.protocol.names.credential)?;
        let settings = gateway.settings();
        let domains = Domains::within(&route.homes, &settings.regions);
        Ok(Self { table, route, settings, domains, tenant })
    }

    /// Checks a request that was admitted under an earlier configuration and is about to be sent to
    /// `upstream`. `may_have_run` says whether it may run already.
    ///
    /// # Errors
    ///
    /// Refuses a request that this configuration does not allow, or allows only as that of another
    /// tenant, at another service, in other regions, or once.
    pub(super) fn check_earlier(
        &self,
        earlier: &Self,
        upstream: &Registration,
        may_have_run: bool,
    ) -> Result<()> {
        let has_moved = earlier
            .tenant
            .as_ref()
            .is_some_and(|earlier| self.tenant.as_ref().is_some_and(|it| it.id != earlier.id));
        if has_moved && !self.route.is_public {
            return Err(Refusal::route_changed());
        }
        let service = &upstream.service;
        let serves = self.table.services.contains_key(service)
            && self.route.parts.iter().any(|it| it.service == *service)
            && self.domains.contains(&upstream.domain);
        if !serves || may_have_run && !self.route.idempotence.is_idempotent() {
            return Err(Refusal::route_changed());
        }
        Ok(())
    }

    /// Priority of the request: that of its tenant, if it has one, or else that of the route.
    pub(super) fn priority(&self) -> u8 {
        self.tenant.as_ref().and_then(|it| it.priority).unwrap_or(self.route.priority)
    }
}

/// Finds the tenant of a request from the header `name`, which must occur exactly once and hold
/// nothing but the key. Returns `None` if the request needs no key and carries no valid one.
fn tenant(table: &Table, route: &Route, head: &Head, name: &str) -> Result<Option<Arc<Tenant>>> {
    if !table.has_tenants() {
        return Ok(None);
    }
    let mut keys = head.all(name);
    let key = keys.next().filter(|it| !it.is_empty() && keys.next().is_none());
    match key.and_then(|it| table.tenant(it)) {
        Some(it) => Ok(Some(Arc::clone(it))),
        None if route.is_public => Ok(None),
        None if key.is_some() && table.gaps.contains(&Gap::Keys) => {
            Err(Refusal::config_incomplete())
        }
        None => Err(Refusal::unauthorized()),
    }
}
