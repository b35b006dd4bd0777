//! The machines of a zone.

use {serde::Deserialize, std::sync::Arc};

/// The machines of a class in a zone.
#[derive(Clone, Debug, Deserialize)]
pub struct Machines {
  /// The class; `front` machines carry the traffic.
  pub class: Arc<str>,
  /// The zone.
  pub zone: Arc<str>,
  /// Number of machines.
  pub count: usize,
  /// Machines that may be added during a day.
  #[serde(default)]
  pub spare: usize,
  /// Share of a core.
  pub cpu_share: f64,
  /// Cores that a process sees.
  pub cores: u32,
  /// Memory of a process.
  pub memory_mb: u64,
  /// File descriptors of a process.
  pub fds: u64,
  /// Bandwidth of the machine.
  pub link_mbps: f64,
}
