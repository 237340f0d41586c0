//! Arguments of the command.

use std::{ffi::OsString, str::FromStr, time::Duration};

use lexopt::{Arg, Parser, ValueExt};

/// What the command prints for `--help`.
pub(crate) const HELP: &str = "\
usage: cargo xtask config [OPTIONS]
  --seeds N      runs, each with the next seed (default 100)
  --seed N       seed of the first run (default 1)
  --small        the small part that tests run: two runs, half as long
  --large        3,600 upstreams in 130 services; the time of parsing and folding counts
  --break GUARD  take a guard away, so that a check must notice: id, verdict, current, snapshot,
                 recheck
  --size         measure parsing, folding and memory at 3,600 upstreams in 130 services instead";

/// Longest time until a version is in force on every host, with the log up.
const BOUND: Duration = Duration::from_secs(5);
/// The same at 3,600 upstreams in 130 services.
const LARGE_BOUND: Duration = Duration::from_secs(17);

/// What can be taken away to show that a check notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Guard {
    /// A publication without an answer is made anew under a new id, without a look for the first.
    Id,
    /// The answer to an append counts as acceptance.
    Verdict,
    /// A host puts versions in force before it has read the log's end.
    Current,
    /// Nobody writes snapshots.
    Snapshot,
    /// A snapshot is used without a look at where it ends in the log.
    Recheck,
}

impl FromStr for Guard {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "id" => Ok(Self::Id),
            "verdict" => Ok(Self::Verdict),
            "current" => Ok(Self::Current),
            "snapshot" => Ok(Self::Snapshot),
            "recheck" => Ok(Self::Recheck),
            _ => Err(format!("unknown guard `{name}`")),
        }
    }
}

/// Arguments of the command.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) seeds: u64,
    pub(crate) is_small: bool,
    pub(crate) is_large: bool,
    pub(crate) size: bool,
    pub(crate) guard: Option<Guard>,
}

impl Options {
    /// Reads the arguments; nothing if only help is wanted.
    pub(crate) fn parse(
        args: impl Iterator<Item = OsString>,
    ) -> Result<Option<Self>, lexopt::Error> {
        let mut res = Self {
            seed: 1,
            seeds: 100,
            is_small: false,
            is_large: false,
            size: false,
            guard: None,
        };
        let mut parser = Parser::from_args(args);
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("seed") => res.seed = parser.value()?.parse()?,
                Arg::Long("seeds") => res.seeds = parser.value()?.parse()?,
                Arg::Long("small") => res = Self { is_small: true, seeds: 2, ..res },
                Arg::Long("large") => res = Self { is_large: true, seeds: 3, ..res },
                Arg::Long("size") => res.size = true,
                Arg::Long("break") => res.guard = Some(parser.value()?.parse()?),
                Arg::Long("help") => return Ok(None),
                _ => return Err(arg.unexpected()),
            }
        }
        Ok(Some(res))
    }

    /// Whether a guard is taken away.
    pub(crate) fn lacks(&self, guard: Guard) -> bool {
        self.guard == Some(guard)
    }

    /// Longest time until a version is in force on every host, with the log up.
    pub(crate) fn bound(&self) -> Duration {
        if self.is_large { LARGE_BOUND } else { BOUND }
    }
}
