//! Capacity of a host.

/// Capacity of a host and how much of it is in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Capacity {
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f32,
    /// Processor time that the daemon may use, in cores.
    pub cpu_cores: f32,
    /// Processor time that it uses, in cores.
    pub used_cores: f32,
}
