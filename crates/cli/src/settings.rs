//! Settings of the command line.

use std::net::SocketAddr;

use ini::Keys;

use crate::{Error, Result};

/// Settings of the command line.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Settings {
    /// Address of the platform's log.
    pub log_address: Option<SocketAddr>,
    /// Admin addresses of daemons, which list the others.
    pub admin_addresses: Vec<SocketAddr>,
    /// Team in whose name changes are published.
    pub team: String,
}

impl Settings {
    /// Reads the section `[fireflydrum]` of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings with their lines.
    pub fn parse(text: &str) -> Result<Self> {
        let (sections, mut findings) = ini::sections(text);
        let mut settings = Self::default();
        for section in &sections {
            if section.name != "fireflydrum" {
                let message = "unknown section; known is [fireflydrum]".to_owned();
                findings.push(section.finding(section.line, message));
                continue;
            }
            let mut keys = Keys::new(section);
            settings.log_address = keys.address("log_address");
            settings.admin_addresses = keys.read("admin_addresses", addresses).unwrap_or_default();
            keys.text("team").unwrap_or_default().clone_into(&mut settings.team);
            findings.extend(keys.finish());
        }
        if findings.is_empty() { Ok(settings) } else { Err(Error::Findings(findings)) }
    }
}

/// Parses a list of addresses, separated by commas.
///
/// # Errors
///
/// Names the first invalid address.
pub fn addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |it: &str| {
        let it = it.trim();
        it.parse()
            .map_err(|_| format!("`{}` isn't an address such as 10.0.0.1:9100", ini::excerpt(it)))
    };
    text.split(',').map(parse).collect()
}
