//! Errors of the verbs.

use std::net::SocketAddr;

use document::{Finding, PublicationId, Version, verdict::Conflict};

use crate::{Code, outcome::Outcome};

/// The result of a verb, or its error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a verb.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Wrong arguments or settings.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read.
    #[error("{name}: {source}")]
    File {
        /// Name of the file.
        name: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A host gave no usable answer.
    #[error("host {address}: {reason}")]
    Host {
        /// The host's admin address.
        address: SocketAddr,
        /// Why there is no usable answer.
        reason: String,
    },
    /// The document or the change is invalid.
    #[error("{}", list(.0))]
    Findings(Vec<Finding>),
    /// The change conflicts with changes by others.
    #[error("{}\nnothing was published; review the conflicting changes, then redo yours", list(.0))]
    Conflicts(Vec<Conflict>),
    /// The log can't be read.
    #[error(transparent)]
    Platform(platform::Error),
    /// The log did not store the change.
    #[error("nothing was published: {0}")]
    Unpublished(String),
    /// The contents of the log don't determine the document.
    #[error("the log can't be used: {0}")]
    UnusableLog(String),
    /// The version doesn't exist or the log no longer retains it.
    #[error("version {0} doesn't exist or is no longer in the log")]
    Version(Version),
    /// It is unknown whether the change was published.
    #[error(
        "unknown whether the change was published ({reason}); don't publish it again before \
        `fireflydrum history --id {id}` shows its verdict"
    )]
    Unknown {
        /// Id of the publication.
        id: PublicationId,
        /// Why there is no answer.
        reason: String,
    },
}

impl Error {
    /// Exit code.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Usage(_) => Code::Usage,
            Self::File { .. } | Self::Host { .. } | Self::UnusableLog(_) | Self::Version(_) => {
                Code::Failed
            }
            Self::Findings(_) => Code::Findings,
            Self::Conflicts(_) => Code::Conflict,
            Self::Platform(_) | Self::Unpublished(_) => Code::Unavailable,
            Self::Unknown { .. } => Code::Unknown,
        }
    }

    /// Converts the error to an outcome with text and JSON.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        #[derive(serde::Serialize)]
        struct Message<'a> {
            error: String,
            findings: &'a [Finding],
            conflicts: &'a [Conflict],
        }
        let findings = if let Self::Findings(it) = self { it.as_slice() } else { &[] };
        let conflicts = if let Self::Conflicts(it) = self { it.as_slice() } else { &[] };
        let message = Message { error: self.to_string(), findings, conflicts };
        let json = serde_json::to_string(&message).unwrap_or_default();
        Outcome { text: format!("fireflydrum: {self}\n"), json, code: self.code() }
    }
}

impl From<platform::Error> for Error {
    fn from(err: platform::Error) -> Self {
        match err {
            platform::Error::Gone { first } => {
                Self::UnusableLog(format!("records before offset {first} are no longer retained"))
            }
            err => Self::Platform(err),
        }
    }
}

impl From<lexopt::Error> for Error {
    fn from(err: lexopt::Error) -> Self {
        Self::Usage(err.to_string())
    }
}

fn list<T: std::fmt::Display>(items: &[T]) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
