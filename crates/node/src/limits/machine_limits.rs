//! Resources of the machine that the process may use.

/// Resources of the machine that the process may use, read from `limits` in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, serde::Deserialize)]
#[serde(default)]
pub struct MachineLimits {
    /// Memory, in megabytes of 10^6 bytes.
    pub memory_mb: f64,
    /// Most descriptors that the process may have open.
    pub sockets: usize,
}

impl Default for MachineLimits {
    fn default() -> MachineLimits {
        MachineLimits {
            memory_mb: 192.0,
            sockets: 1024,
        }
    }
}
