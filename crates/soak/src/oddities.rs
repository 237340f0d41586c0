//! What other writers leave in the store and in the settings.

use platform_standin::config;

use crate::environment::Environment;

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

/// Entry of another writer under the id of an upstream: a field is missing, of another type or too
/// large, or it is of another service.
pub(crate) fn entry(env: &Environment, upstream: usize, rng: &mut fastrand::Rng) -> String {
    let sound = env.entry(upstream, "ready");
    match rng.u8(..6) {
        0 => sound.replace("\"seq\":", "\"former_seq\":"),
        1 => sound.replace("\"version\":", "\"former_version\":"),
        2 => sound.replace("\"born\":", "\"born\":17966000000000"),
        3 => sound.replace("\"seq\":", "\"seq\":\"1\",\"former_seq\":"),
        4 => sound.replace("\"slots\":", "\"slots\":-"),
        _ => sound.replace("\"service\":\"stock\"", "\"service\":7"),
    }
}

/// Settings of a daemon with one odd line.
pub(crate) fn settings(sound: &str, rng: &mut fastrand::Rng) -> String {
    let (key, value) = SETTINGS[rng.usize(..SETTINGS.len())];
    let prefix = format!("{key} = ");
    let mut lines: Vec<_> = sound.lines().filter(|it| !it.starts_with(&prefix)).collect();
    let odd = format!("{prefix}{value}");
    lines.push(&odd);
    lines.join("\n") + "\n"
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
