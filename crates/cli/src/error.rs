//! Why a verb could not do its work.

use std::net::SocketAddr;

use document::{Finding, PublicationId, Version, verdict::Conflict};

use crate::{Code, outcome::Outcome};

/// What a verb returns, or why it could not do its work.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a verb could not do its work.
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
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A host can't be asked.
    #[error("host {address}: {reason}")]
    Host {
        /// The host's admin address.
        address: SocketAddr,
        /// Why not.
        reason: String,
    },
    /// The document or the change is unsound.
    #[error("{}", list(.0))]
    Findings(Vec<Finding>),
    /// Changes of others stood in the way.
    #[error("{}\nnothing was published; look at their change, then make yours again", list(.0))]
    Conflicts(Vec<Conflict>),
    /// The log can't be read.
    #[error(transparent)]
    Platform(platform::Error),
    /// The log certainly didn't take the change.
    #[error("nothing was published: {0}")]
    Unpublished(String),
    /// The log doesn't hold enough to know the document.
    #[error("the log can't be followed: {0}")]
    UnusableLog(String),
    /// A version that the log no longer holds, or doesn't hold yet.
    #[error("version {0} isn't in the log, or not any more")]
    Version(Version),
    /// The change may have been published.
    #[error(
        "nobody can tell yet whether the change was published ({reason}); don't make it again \
         before `fireflydrum history --id {id}` says what became of it"
    )]
    Unknown {
        /// Id of the publication.
        id: PublicationId,
        /// Why the answer is missing.
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

    /// The error as a program reads it.
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
                Self::UnusableLog(format!("it no longer keeps records before offset {first}"))
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
