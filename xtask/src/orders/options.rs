//! Arguments of `cargo xtask orders`.

use std::ffi::OsString;

use lexopt::{Arg, Parser, ValueExt};

use super::guard::Guard;

/// Output of `--help`.
pub(crate) const HELP: &str = "\
usage: cargo xtask orders [OPTIONS]
  --cost          measures the cost of journaling on real daemons instead
  --rate N        orders per second for --cost (default 1000)
  --small         smaller scenarios, as in the tests
  --scenario NAME only the exhaustive scenarios of this name
  --faults N      maximum number of faults in each exhaustive scenario (default 2, small 1)
  --limit N       number of states after which the search of a scenario stops
  --walks N       number of random walks of each random scenario
  --seed N        seed of the first random walk
  --break GUARD   disables a guard of the protocol; a check must fail";

/// Arguments of `cargo xtask orders`.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) cost: bool,
    pub(crate) rate: u32,
    pub(crate) small: bool,
    pub(crate) scenario: Option<String>,
    pub(crate) faults: u8,
    pub(crate) limit: u64,
    pub(crate) walks: u64,
    pub(crate) seed: u64,
    pub(crate) disabled_guard: Option<Guard>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            cost: false,
            rate: 1_000,
            small: false,
            scenario: None,
            faults: 2,
            limit: 20_000_000,
            walks: 20_000,
            seed: 1,
            disabled_guard: None,
        }
    }
}

impl Options {
    /// Parses the arguments. Returns `None` for `--help`.
    pub(crate) fn parse(
        args: impl Iterator<Item = OsString>,
    ) -> Result<Option<Self>, lexopt::Error> {
        let mut res = Self::default();
        let mut parser = Parser::from_args(args);
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("cost") => res.cost = true,
                Arg::Long("rate") => res.rate = parser.value()?.parse::<u32>()?.max(1),
                Arg::Long("small") => {
                    res = Self { small: true, faults: 1, walks: 300, ..res };
                }
                Arg::Long("scenario") => res.scenario = Some(parser.value()?.string()?),
                Arg::Long("faults") => res.faults = parser.value()?.parse()?,
                Arg::Long("limit") => res.limit = parser.value()?.parse()?,
                Arg::Long("walks") => res.walks = parser.value()?.parse()?,
                Arg::Long("seed") => res.seed = parser.value()?.parse()?,
                Arg::Long("break") => res.disabled_guard = Some(parser.value()?.parse()?),
                Arg::Long("help") => return Ok(None),
                _ => return Err(arg.unexpected()),
            }
        }
        Ok(Some(res))
    }
}
