//! Arguments of `cargo xtask config`.

use std::{ffi::OsString, str::FromStr, time::Duration};

use lexopt::{Arg, Parser, ValueExt};

/// Output of `--help`.
pub(crate) const HELP: &str = "\
usage: cargo xtask config [OPTIONS]
  --seeds N      number of runs, each with the next seed (default 100)
  --seed N       seed of the first run (default 1)
  --small        two runs of half the length, as in the tests
  --large        3,600 upstreams in 130 services; includes the time of parsing and folding
  --break GUARD  disable a guard, so that a check must fail: id, verdict, current, snapshot,
                 recheck
  --size         measure parsing, folding and memory at 3,600 upstreams in 130 services instead";

/// Time within which a version must be in force on every host while the log is up.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Like [`IN_FORCE_LIMIT`], at 3,600 upstreams in 130 services.
const LARGE_IN_FORCE_LIMIT: Duration = Duration::from_secs(17);

/// Guards that can be disabled, to test that the checks detect their absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Guard {
    /// A publication whose append timed out is looked up and retried under the same id, not under a
    /// new one.
    Id,
    /// An editor waits for the verdict on its publication. An acknowledged append doesn't count as
    /// acceptance.
    Verdict,
    /// A host puts a version in force only when it has read the log up to its end.
    Current,
    /// Hosts write snapshots.
    Snapshot,
    /// A host checks where a snapshot ends in the log before using it.
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

/// Arguments of `cargo xtask config`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) seeds: u64,
    pub(crate) is_small: bool,
    pub(crate) is_large: bool,
    pub(crate) size: bool,
    pub(crate) disabled_guard: Option<Guard>,
}

impl Options {
    /// Parses the arguments. Returns `None` for `--help`.
    pub(crate) fn parse(
        args: impl Iterator<Item = OsString>,
    ) -> Result<Option<Self>, lexopt::Error> {
        let mut res = Self {
            seed: 1,
            seeds: 100,
            is_small: false,
            is_large: false,
            size: false,
            disabled_guard: None,
        };
        let mut parser = Parser::from_args(args);
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("seed") => res.seed = parser.value()?.parse()?,
                Arg::Long("seeds") => res.seeds = parser.value()?.parse()?,
                Arg::Long("small") => res = Self { is_small: true, seeds: 2, ..res },
                Arg::Long("large") => res = Self { is_large: true, seeds: 3, ..res },
                Arg::Long("size") => res.size = true,
                Arg::Long("break") => res.disabled_guard = Some(parser.value()?.parse()?),
                Arg::Long("help") => return Ok(None),
                _ => return Err(arg.unexpected()),
            }
        }
        Ok(Some(res))
    }

    /// Whether a guard is disabled.
    pub(crate) fn is_disabled(&self, guard: Guard) -> bool {
        self.disabled_guard == Some(guard)
    }

    /// Time within which a version must be in force on every host while the log is up.
    pub(crate) fn in_force_limit(&self) -> Duration {
        if self.is_large { LARGE_IN_FORCE_LIMIT } else { IN_FORCE_LIMIT }
    }
}
