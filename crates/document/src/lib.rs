//! The configuration document that operators publish: its types, its parser and the fold of
//! published changes.
//!
//! This crate knows nothing of sockets, files or time. Findings are collected with their line and
//! section and reported together.

mod document;
mod finding;
mod rank;
mod route;
mod service;
mod upstream;

pub use document::Document;
pub use finding::Finding;
pub use rank::Rank;
pub use route::Route;
pub use service::Service;
pub use upstream::Upstream;

/// Name of a service, unique in a document.
pub type ServiceId = std::sync::Arc<str>;
/// Name of an upstream, unique in a document.
pub type UpstreamId = std::sync::Arc<str>;
/// Name of a rank, unique in a document.
pub type RankId = std::sync::Arc<str>;
/// Name of a route, unique in a document.
pub type RouteId = std::sync::Arc<str>;
/// Name of a failure domain.
pub type Domain = std::sync::Arc<str>;
/// Name of a team that owns sections.
pub type Team = std::sync::Arc<str>;
/// A document, or every finding that speaks against it.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;
