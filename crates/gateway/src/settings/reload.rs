//! Replacement of the settings while the daemon runs.

use super::Settings;

impl Settings {
    /// Takes `new` over, but for the fields that hold until the daemon is restarted: those that sockets
    /// are bound to or that peers and callers know, and those that are used at the start only. Returns
    /// the names of those that differ.
    #[must_use]
    pub fn reload(&self, new: Self) -> (Self, Vec<&'static str>) {
        let mut res = new;
        let mut kept = Kept(Vec::new());
        kept.keep("host", &self.host, &mut res.host);
        kept.keep("domain", &self.domain, &mut res.domain);
        let addresses = [
            ("caller_address", self.caller_address, &mut res.caller_address),
            ("ready_address", self.ready_address, &mut res.ready_address),
            ("directory_address", self.directory_address, &mut res.directory_address),
            ("peer_address", self.peer_address, &mut res.peer_address),
            ("metrics_address", self.metrics_address, &mut res.metrics_address),
        ];
        for (name, old, new) in addresses {
            kept.keep(name, &old, new);
        }
        kept.keep("seeds", &self.seeds, &mut res.seeds);
        kept.keep("first_start", &self.is_first_start, &mut res.is_first_start);
        kept.keep("link_mbps", &self.link_mbps, &mut res.link_mbps);
        res.add_own_region();
        (res, kept.0)
    }
}

/// Names of the fields whose new values are not taken over.
struct Kept(Vec<&'static str>);

impl Kept {
    fn keep<T: Clone + PartialEq>(&mut self, name: &'static str, old: &T, new: &mut T) {
        if old != new {
            new.clone_from(old);
            self.0.push(name);
        }
    }
}
