//! Quotas of tenants.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use super::Gateway;
use crate::{
    config,
    peer::{Peer, Table, TenantDemands},
    rate::Terms,
};

/// Maximum number of log lines per second about requests beyond quotas.
const LINES_PER_S: u32 = 10;

impl Gateway {
    /// Takes a request from a tenant's quota.
    ///
    /// # Errors
    ///
    /// Returns the `Retry-After` of the refusal.
    pub fn take_quota(&self, now: Instant, tenant: &config::Tenant) -> Result<(), Duration> {
        let res = self.quotas.borrow_mut().take(now, tenant);
        if tenant.rate_per_s > 0.0 {
            self.metrics.count_quota(res.is_ok());
        }
        if let Err(wait) = res
            && self.log_limiter.borrow_mut().allows(now, "quota-exceeded", LINES_PER_S)
        {
            log::info!(
                target: "request",
                "event=quota-exceeded tenant={} rate_per_s={} retry_after_ms={}",
                ini::excerpt(&tenant.id), tenant.rate_per_s, wait.as_millis()
            );
        }
        res
    }

    /// Reports of the tenants' requests for peers, and their receivers. `None` if there is nothing to
    /// send.
    #[must_use]
    pub fn demands_to_send(&self, now: Instant) -> Option<(Vec<SocketAddr>, Vec<TenantDemands>)> {
        if !self.has_quotas.get() {
            return None;
        }
        let mut quotas = self.quotas.borrow_mut();
        let (serial, demands) = quotas.report(now);
        if demands.is_empty() && !self.activity.borrow().is_active() {
            return None;
        }
        let peers = self.peers.borrow();
        let is_receiver =
            |it: &Peer| quotas.is_receiver(now, it.heartbeat.key, it.heartbeat.is_active);
        let to = peers.live_peers(now).filter(|(_, it)| is_receiver(it)).map(|(at, _)| at);
        let age_ms = u32::try_from(quotas.age(now).as_millis()).unwrap_or(u32::MAX);
        Some((to.collect(), TenantDemands::split(self.key, age_ms, serial, &demands)))
    }

    /// Records a peer's report of the tenants' requests.
    pub fn record_demands(&self, now: Instant, it: &TenantDemands) {
        let age = Duration::from_millis(it.age_ms.into());
        self.quotas.borrow_mut().record(now, it.host, age, it.serial, &it.demands);
    }

    /// Updates the terms of the quotas and what is known of the daemons that share them.
    pub(super) fn share_quotas(&self, now: Instant, peers: &Table) {
        let settings = self.settings();
        let active = peers.live_peers(now).filter(|(_, it)| it.heartbeat.is_active).count();
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_terms(Terms {
            window: settings.quota_window,
            overshoot: settings.quota_overshoot,
            slack: settings.quota_slack,
        });
        let active = u32::try_from(active).unwrap_or(u32::MAX);
        quotas.set_fleet(now, peers.presence(now), peers.live_count(now), active);
    }
}
