//! The configuration document that operators publish: its types, its parser and the fold of
//! published changes.
//!
//! This crate knows nothing of sockets, files or time. Findings are collected with their line and
//! section and reported together.

mod check;
mod document;
mod finding;
mod item;
mod keys;
mod name;
mod rank;
mod report;
mod route;
pub mod section;
mod service;
mod split;
mod team;
mod upstream;

pub use document::Document;
pub use finding::Finding;
pub use item::Item;
pub use name::MAX_NAME_BYTES;
pub use rank::Rank;
pub use report::MAX_FINDINGS;
pub use route::Route;
pub use section::Section;
pub use service::Service;
pub use split::{MAX_DOCUMENT_BYTES, MAX_SECTIONS, split};
pub use team::Team;
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
/// Name of a team, unique in a document.
pub type TeamId = std::sync::Arc<str>;
/// A document, or every finding that speaks against it.
pub type Result<T, E = Vec<Finding>> = std::result::Result<T, E>;
