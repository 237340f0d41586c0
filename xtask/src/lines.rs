//! `cargo xtask lines`: counts lines of code, test files and test harnesses, and the share of the core.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Paths with the code for routing, limits, retries, membership, state and recovery.
const CORE: [&str; 11] = [
    "crates/admission/",
    "crates/balance/",
    "crates/document/src/fold",
    "crates/document/src/replica",
    "crates/document/src/snapshot",
    "crates/member/",
    "crates/order/",
    "crates/daemon/src/configuration",
    "crates/daemon/src/membership",
    "crates/daemon/src/proxy",
    "crates/daemon/src/service",
];
/// Paths of stand-ins and commands for tests, which count neither as product code nor as test
/// files.
const HARNESS: [&str; 5] = [
    "crates/fleet/",
    "crates/standin/",
    "xtask/src/config",
    "xtask/src/matrix",
    "xtask/src/orders",
];
/// Maximum share of test files in all lines, in percent.
const MAX_TEST_SHARE: f64 = 33.4;
/// Minimum share of the core in all lines, in percent.
const MIN_CORE_SHARE: f64 = 25.0;

#[derive(Default)]
struct Count {
    code: u32,
    tests: u32,
    harness: u32,
    core: u32,
}

/// Prints the lines of each folder and the shares in all lines. Fails if a share is out of bounds.
pub(crate) fn run() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new("."));
    match count(root) {
        Ok(it) => report(&it),
        Err(e) => {
            eprintln!("{}: {e}", root.display());
            ExitCode::FAILURE
        }
    }
}

fn report(total: &Count) -> ExitCode {
    let all = f64::from((total.code + total.tests + total.harness).max(1));
    let test_share = f64::from(total.tests) / all * 100.0;
    let harness_share = f64::from(total.harness) / all * 100.0;
    let core_share = f64::from(total.core) / all * 100.0;
    println!(
        "RESULT code={} tests={} harness={} test_share={test_share:.1}% \
         harness_share={harness_share:.1}% core_share={core_share:.1}%",
        total.code, total.tests, total.harness
    );
    let is_ok = test_share <= MAX_TEST_SHARE && core_share >= MIN_CORE_SHARE;
    if is_ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Counts lines that are neither empty nor comments.
fn count(root: &Path) -> io::Result<Count> {
    let mut files = Vec::new();
    for folder in ["crates", "xtask"] {
        collect(&root.join(folder), &mut files)?;
    }
    files.sort();
    let mut total = Count::default();
    let mut folder = (String::new(), Count::default());
    for file in files {
        let path = file.strip_prefix(root).unwrap_or(&file).to_string_lossy().into_owned();
        let lines = code_lines(&fs::read_to_string(&file)?);
        let name = path.split('/').take(2).collect::<Vec<_>>().join("/");
        if folder.0 != name {
            print_row(&folder.0, &folder.1);
            folder = (name, Count::default());
        }
        for it in [&mut total, &mut folder.1] {
            it.add(&path, lines);
        }
    }
    print_row(&folder.0, &folder.1);
    Ok(total)
}

fn print_row(name: &str, count: &Count) {
    if !name.is_empty() {
        let Count { code, tests, harness, core } = count;
        println!("{name:<20} code={code:<6} tests={tests:<6} harness={harness:<6} core={core}");
    }
}

impl Count {
    fn add(&mut self, path: &str, lines: u32) {
        if path.contains("/tests/") {
            self.tests += lines;
        } else if HARNESS.iter().any(|it| path.starts_with(it)) {
            self.harness += lines;
        } else {
            self.code += lines;
        }
        if CORE.iter().any(|it| path.starts_with(it)) {
            self.core += lines;
        }
    }
}

fn collect(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            collect(&path, files)?;
        } else if path.extension().is_some_and(|it| it == "rs") {
            files.push(path);
        }
    }
    Ok(())
}

fn code_lines(text: &str) -> u32 {
    let is_code = |it: &&str| !it.trim().is_empty() && !it.trim_start().starts_with("//");
    u32::try_from(text.lines().filter(is_code).count()).unwrap_or(u32::MAX)
}
