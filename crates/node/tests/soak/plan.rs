//! What happens in a round, drawn from its seed.
use std::time::Duration;

use quartzhub_policy::Pcg;

use super::clients::{ClientBehavior, CLIENTS, UNPAUSING_CLIENTS};

/// Client timeouts of the settings, in milliseconds. The shorter the timeout, the earlier the kill.
const CLIENT_TIMEOUTS_MS: [u64; 7] = [60, 100, 150, 300, 600, 1000, 3000];
/// Longest client timeout that operators wait for after SIGTERM, in milliseconds.
const MAX_AWAITED_TIMEOUT_MS: u64 = 3000;
/// Time that operators leave a process after the longest client timeout, in milliseconds.
const KILL_AFTER_MS: u64 = 700;
/// Longest time for which a node may be stalled, in milliseconds.
const MAX_STALL_MS: f64 = 150.0;
/// Limit of sockets of a node whose sockets are filled by idle clients.
const FEW_SOCKETS: u32 = 96;
/// Limit of sockets of any other node.
const MANY_SOCKETS: u32 = 1024;
/// Time of SIGTERM in a round with a stall at a given moment, in milliseconds from the start.
const TERMINATE_STALLED_AT_MS: u64 = 100;
/// Servers hang in one of this many rounds with a stall at a given moment.
const HANGING_ROUNDS: u64 = 4;
/// Idle clients fill the sockets in one of this many rounds with a stall at a given moment.
const CROWDED_ROUNDS: u64 = 8;
/// Shortest time from the end of the first stall to the second one, in milliseconds.
pub const BETWEEN_STALLS_MS: u64 = 50;

/// What happens in a round.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    /// Longest client timeout of the settings, in milliseconds.
    pub client_timeout_ms: u64,
    /// The same in the settings that SIGHUP loads; `None` if the round has no SIGHUP.
    pub new_client_timeout_ms: Option<u64>,
    /// Time of SIGHUP, in milliseconds from SIGTERM; negative if SIGHUP precedes it.
    pub hangup_after_ms: i64,
    /// Time of SIGTERM, in milliseconds from the start.
    pub terminate_at_ms: u64,
    /// Length of the stall of the process at SIGTERM, in milliseconds.
    pub stall_ms: u64,
    /// Time of the second stall, in milliseconds from `BETWEEN_STALLS_MS` after the first stall.
    pub second_stall_at_ms: u64,
    /// Length of the second stall, in milliseconds.
    pub second_stall_ms: u64,
    /// Whether further SIGTERMs and a SIGINT follow, which have to change nothing.
    pub repeats_signals: bool,
    /// Whether idle clients fill the sockets.
    pub has_idle_crowd: bool,
    /// Whether servers leave half of the commands without a response from SIGTERM on.
    pub servers_hang: bool,
    pub may_duplicate: bool,
    pub cancelling: bool,
    /// Whether servers respond at once and without failures, until they hang.
    pub servers_are_instant: bool,
    pub clients: &'static [ClientBehavior],
}

/// A stall of the process during its shutdown.
#[derive(Debug, Clone, Copy)]
pub struct Stall {
    /// Time at which it begins, in milliseconds from SIGTERM.
    pub after_ms: u64,
    /// Its length, in milliseconds.
    pub length_ms: u64,
}

impl Plan {
    /// Draws a plan from a seed.
    pub fn from_seed(seed: u64) -> Plan {
        let mut rng = Pcg::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let mut draw = |limit: f64| (rng.unit() * limit) as u64;
        let client_timeout_ms = CLIENT_TIMEOUTS_MS[draw(7.0) as usize];
        let reloads = draw(3.0) == 0;
        let new_client_timeout_ms = CLIENT_TIMEOUTS_MS[draw(7.0) as usize];
        Plan {
            seed,
            client_timeout_ms,
            new_client_timeout_ms: reloads.then_some(new_client_timeout_ms),
            hangup_after_ms: draw(300.0) as i64 - 100,
            terminate_at_ms: 200 + draw(200.0),
            stall_ms: draw(2.0) * draw(MAX_STALL_MS),
            second_stall_at_ms: draw((client_timeout_ms + KILL_AFTER_MS) as f64),
            second_stall_ms: draw(2.0) * draw(MAX_STALL_MS),
            repeats_signals: draw(2.0) == 0,
            has_idle_crowd: draw(4.0) == 0,
            servers_hang: draw(3.0) == 0,
            may_duplicate: draw(2.0) == 0,
            cancelling: draw(2.0) == 0,
            servers_are_instant: false,
            clients: &CLIENTS,
        }
    }

    /// Returns a plan of a shutdown with one stall and clients that do not pause. The seed selects
    /// the rest.
    pub fn with_stall(seed: u64, client_timeout_ms: u64, stall: Stall) -> Plan {
        Plan {
            seed,
            client_timeout_ms,
            new_client_timeout_ms: None,
            hangup_after_ms: 0,
            terminate_at_ms: TERMINATE_STALLED_AT_MS,
            stall_ms: 0,
            second_stall_at_ms: stall.after_ms.saturating_sub(BETWEEN_STALLS_MS),
            second_stall_ms: stall.length_ms,
            repeats_signals: false,
            has_idle_crowd: seed % CROWDED_ROUNDS == 1,
            servers_hang: seed % HANGING_ROUNDS == 2,
            may_duplicate: seed.is_multiple_of(2),
            cancelling: true,
            servers_are_instant: true,
            clients: &UNPAUSING_CLIENTS,
        }
    }

    /// Returns the time from SIGTERM to SIGKILL, by the shorter client timeout if SIGHUP loads
    /// another one.
    pub fn time_to_kill(&self) -> Duration {
        let client_timeout_ms = self
            .new_client_timeout_ms
            .map_or(self.client_timeout_ms, |new| {
                new.min(self.client_timeout_ms)
            });
        Duration::from_millis(client_timeout_ms.min(MAX_AWAITED_TIMEOUT_MS) + KILL_AFTER_MS)
    }

    /// Returns the node's configuration with an endpoint list and a client timeout.
    pub fn config(&self, known: &str, client_timeout_ms: u64) -> String {
        let Plan {
            may_duplicate,
            cancelling,
            ..
        } = self;
        let sockets = if self.has_idle_crowd {
            FEW_SOCKETS
        } else {
            MANY_SOCKETS
        };
        let products = [
            product("view", "idempotent", client_timeout_ms),
            product("book", "at_most_once", client_timeout_ms),
            product("put", "deduplicated", client_timeout_ms),
        ];
        format!(
            r#"{{"listen":"127.0.0.1:0","seed":"{:x}","limits":{{"sockets":{sockets}}},"known":{known},
            "settings":{{"Kinds":["box","origin"],"Extra":{{"Mode":"aside","OriginKind":1}},
            "Caps":{{"MostShots":3,"MayDuplicate":{may_duplicate},"Cancelling":{cancelling},"ConnectTimeout":100,
            "Keepalive":2000,"RetryAfter":true,"MaxRetryAfter":100}},"Products":[{}]}}}}"#,
            self.seed,
            products.join(",")
        )
    }
}

fn product(name: &str, effect: &str, client_timeout_ms: u64) -> String {
    let latency_objective_ms = client_timeout_ms / 2;
    format!(
        r#"{{"Name":"{name}","Effect":"{effect}","KeyScope":"all","Window":{client_timeout_ms},
                "LatencySlo":{latency_objective_ms},"ClientTimeout":{client_timeout_ms}}}"#
    )
}
