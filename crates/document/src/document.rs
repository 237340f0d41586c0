//! The configuration document as a whole.

use crate::{Rank, Route, Service, Upstream};

/// A validated configuration document.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Document {
    /// Services, in the order of the document.
    pub services: Vec<Service>,
    /// Ranks, first served first.
    pub ranks: Vec<Rank>,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Upstreams of all services, in the order of the document.
    pub upstreams: Vec<Upstream>,
}

impl Document {
    /// The route for a request, if any: the longest matching path prefix of the method.
    #[must_use]
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        let wanted = if method == "HEAD" { "GET" } else { method };
        self.routes
            .iter()
            .filter(|it| it.method == wanted || it.method == method)
            .filter(|it| path_matches(&it.path, path))
            .max_by_key(|it| it.path.len())
    }
}

/// Whether `prefix` covers `path` up to a boundary between path segments.
fn path_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}
