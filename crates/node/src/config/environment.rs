//! The environment of the process: variables that override the configuration file, and limits of
//! the system.

/// Environment variable with the node's name.
const NAME_VARIABLE: &str = "LB_NAME";
/// Environment variable with the address that clients connect to.
pub(super) const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Environment variable with the address of discovery.
pub(super) const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
/// Environment variable with the address of the admin API.
pub(super) const ADMIN_VARIABLE: &str = "LB_OPS";
/// Environment variable with the descriptor of an inherited listening socket.
const INHERITED_DESCRIPTOR_VARIABLE: &str = "LB_INHERITED_FD";

/// File in which Linux lists the resource limits of the process.
const PROCESS_LIMITS_FILE: &str = "/proc/self/limits";
/// Start of the line with the limits on open files.
const OPEN_FILES_PREFIX: &str = "Max open files";

/// Variables that override the configuration file, and the process's limit on descriptors.
#[derive(Debug, Clone, Default)]
pub struct Environment {
    /// `LB_NAME`, the node's name.
    pub name: Option<String>,
    /// `LB_LISTEN`, the address that clients connect to.
    pub listen: Option<String>,
    /// `LB_DISCOVERY`, the address of discovery.
    pub discovery: Option<String>,
    /// `LB_OPS`, the address of the admin API.
    pub admin_listen: Option<String>,
    /// `LB_INHERITED_FD`, the descriptor of an inherited listening socket.
    pub inherited_descriptor: Option<String>,
    /// Most descriptors that the process may have open, if the system reports the limit.
    pub max_descriptors: Option<usize>,
}

impl Environment {
    /// Reads the environment of this process.
    pub fn of_process() -> Environment {
        Environment {
            name: variable(NAME_VARIABLE),
            listen: variable(LISTEN_VARIABLE),
            discovery: variable(DISCOVERY_VARIABLE),
            admin_listen: variable(ADMIN_VARIABLE),
            inherited_descriptor: variable(INHERITED_DESCRIPTOR_VARIABLE),
            max_descriptors: max_descriptors(),
        }
    }
}

/// Returns the value of an environment variable, unless it is unset or empty.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Returns the soft limit on open files, if the system reports it.
fn max_descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string(PROCESS_LIMITS_FILE).ok()?;
    let values = limits
        .lines()
        .find_map(|line| line.strip_prefix(OPEN_FILES_PREFIX))?;
    values.split_whitespace().next()?.parse().ok()
}
