//! Odd settings of the daemons.

use platform_standin::config;

use crate::{daemon::with_setting, environment::Environment};

/// Settings that a daemon must be able to run with, in place of the sound ones: fractions, odd and
/// missing values, values out of range, and addresses that it does not move to.
const SETTINGS: [(&str, &str); 7] = [
    ("grace", "6.5s"),
    ("retry_ratio", "0.2000001"),
    ("probe_rate", ""),
    ("drain", "1.5s"),
    ("descriptor_limit", "1e30"),
    ("memory_mb", "512.0"),
    ("caller_address", "127.0.0.1:1"),
];

/// Settings of a daemon with one odd line.
pub(crate) fn settings(sound: &str, rng: &mut fastrand::Rng) -> String {
    let (key, value) = SETTINGS[rng.usize(..SETTINGS.len())];
    with_setting(sound, key, value)
}

/// Checks that the directory of each daemon answers, and names only addresses at which callers are served.
pub(crate) fn check_directory(env: &Environment) {
    let request = config::request("GET", "/fireflydrum/resolve?name=a.example", "id", true);
    for (number, it) in env.daemons.borrow().iter().enumerate() {
        let finding = match it.ask_directory(&request) {
            Ok(it) if !it.contains("127.0.0.1:1\"") => continue,
            Ok(_) => format!("daemon {number} names an address that nobody listens at"),
            Err(e) => format!("daemon {number} does not answer where hosts are: {e}"),
        };
        env.context.ledger.add_finding(finding);
    }
}
