//! The settings of a scenario's nodes.
use quartzhub_policy::{PolicyConfig, Span};
use quartzhub_settings::{policy_config, Settings};

use super::Scenario;

impl Scenario {
    /// Returns the settings of node `me`.
    pub fn settings(&self, me: usize) -> Settings {
        Settings::from_document(&self.settings_json(me))
    }

    /// Returns the policy configuration of node `me`.
    pub fn policy_config(&self, me: usize) -> PolicyConfig {
        policy_config(&self.settings(me))
    }

    /// Returns the settings of node `me` in the format of a node's configuration file.
    pub fn settings_json(&self, me: usize) -> serde_json::Value {
        let products = self.products.iter().map(|product| {
            serde_json::json!({
                "Name": product.name, "Effect": product.effect, "KeyScope": "all", "Window": product.dedup_window_ms,
                "LatencySlo": product.slo_ms, "ClientTimeout": product.timeout_ms,
                "BilledValue": product.priority_weight, "TardyBilledValue": product.late_priority_weight,
            })
        });
        let products: Vec<_> = products.collect();
        let nodes = if self.configured_nodes > 0 {
            self.configured_nodes
        } else {
            self.nodes
        };
        serde_json::json!({
            "Balancers": nodes, "Me": me, "Zone": "lab", "Localities": ["lab"], "Kinds": ["cache", "origin"],
            "MembershipMode": "pushed", "Extra": {"Mode": "aside", "OriginKind": 1},
            "Caps": {"MostShots": self.max_attempts, "MayDuplicate": true, "Cancelling": true, "RetryAfter": true,
                     "MaxRetryAfter": self.clients.retry_wait_ms * 2.0},
            "Invariants": {"ColdFrom": self.caches.cold_speed_ratio, "WarmWithin": self.caches.slow_start_ms,
                           "DrainGrace": self.rules.grace_ms},
            "Products": products,
        })
    }

    /// How long a node may still send to a server after learning that it is draining or gone.
    pub fn grace(&self) -> Span {
        Span::from_ms(self.rules.grace_ms)
    }
}
