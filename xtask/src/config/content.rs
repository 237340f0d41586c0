//! Generates documents and changes for simulations and measurements.

use std::fmt::Write;

use document::publication::Change;
use fastrand::Rng;

/// Size of a generated document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) services: usize,
    pub(crate) upstreams: usize,
    pub(crate) teams: usize,
}

/// The size that the system is designed for.
pub(crate) const LARGE: Size = Size { services: 130, upstreams: 3_600, teams: 20 };
/// A size for fast runs.
pub(crate) const SMALL: Size = Size { services: 3, upstreams: 12, teams: 3 };

/// Team with `admin = yes`.
pub(crate) const ADMIN: &str = "operations";

impl Size {
    /// The team that owns a service.
    pub(crate) fn owner(&self, service: usize) -> String {
        format!("team-{:02}", service % self.teams)
    }

    /// The service of an upstream.
    pub(crate) fn service(&self, upstream: usize) -> usize {
        upstream % self.services
    }

    /// The section of an upstream.
    pub(crate) fn upstream(&self, number: usize, slots: u32) -> String {
        let (service, domain) = (self.service(number), number % 11);
        let (high, low) = (number / 250, number % 250 + 1);
        format!(
            "[upstream service-{service:03}-{number:04}]\nservice = service-{service:03}\n\
             address = 10.{domain}.{high}.{low}:8080\ndomain = domain-{domain:02}\n\
             slots = {slots}\nconnections = 220\n"
        )
    }

    /// The text of the whole document.
    pub(crate) fn document(&self) -> String {
        let mut text = format!("[team {ADMIN}]\nadmin = yes\n\n");
        for team in 0..self.teams {
            let _ = write!(text, "[team {}]\n\n", self.owner(team));
        }
        for (order, rank) in ["urgent", "normal", "bulk"].iter().enumerate() {
            let _ = write!(text, "[rank {rank}]\norder = {order}\nfloor_percent = 20\n\n");
        }
        for service in 0..self.services {
            let owner = self.owner(service);
            let _ = write!(
                text,
                "[service service-{service:03}]\nowner = {owner}\nprobe_budget_per_s = 2\n\n\
                 [route read-{service:03}]\npath = /{service:03}\nservice = service-{service:03}\n\
                 rank = urgent\ndeadline = 250ms\n\n\
                 [route write-{service:03}]\nmethod = POST\npath = /{service:03}\n\
                 service = service-{service:03}\nrank = normal\ndeadline = 5s\n\n"
            );
        }
        for number in 0..self.upstreams {
            text.push_str(&self.upstream(number, 6));
            text.push('\n');
        }
        text
    }

    /// Generates a change and the team of its author. A few changes are invalid or made by the
    /// wrong team.
    pub(crate) fn change(&self, rng: &mut Rng) -> (String, Vec<Change>) {
        let number = rng.usize(..self.upstreams);
        let mut text = self.upstream(number, rng.u32(1..4_000));
        let mut author = self.owner(self.service(number));
        match rng.u8(..20) {
            0 => text = text.replace("service = service", "service = gone"),
            1 => author = self.owner(self.service(number) + 1),
            2 => text = text.replace("slots", "slot"),
            3 => {
                let section = text[1..].split(']').next().unwrap_or_default().parse();
                let removal = section.map(|section| Change::Remove { section });
                return (author, removal.into_iter().collect());
            }
            4 => {
                ADMIN.clone_into(&mut author);
                text = format!("[rank normal]\norder = 1\nfloor_percent = {}\n", rng.u8(..60));
            }
            _ => {}
        }
        (author, vec![Change::Set { text }])
    }
}
