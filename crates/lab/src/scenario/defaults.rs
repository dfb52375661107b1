//! Default values of a scenario, for keys that a file leaves out.
use super::{
    Caches, Clients, Effect, Keys, Network, Origin, Product, Rules, Scenario, Traffic,
    WorkDistribution,
};

impl Default for Scenario {
    fn default() -> Scenario {
        let product = |name: &str, share, effect, write, work_ms, value| Product {
            name: name.to_owned(),
            share,
            effect,
            write,
            slo_ms: 100.0,
            timeout_ms: 500.0,
            work_ms,
            priority_weight: value,
            late_priority_weight: 0.3,
            dedup_window_ms: 1000.0,
        };
        Scenario {
            seed: 1,
            seconds: 60.0,
            settle: 10.0,
            policy: "dema".to_owned(),
            nodes: 4,
            configured_nodes: 0,
            network: Network::default(),
            clients: Clients::default(),
            traffic: Traffic::default(),
            keys: Keys::default(),
            caches: Caches::default(),
            origin: Origin::default(),
            rules: Rules::default(),
            max_attempts: 3,
            products: vec![
                product("view", 0.94, Effect::Idempotent, false, 12.0, 1.0),
                product("put", 0.04, Effect::Deduplicated, true, 12.0, 4.0),
                product("book", 0.02, Effect::AtMostOnce, true, 12.0, 8.0),
            ],
            faults: Vec::new(),
        }
    }
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay_ms: 0.3,
            jitter_ms: 0.1,
            loss: 0.0,
            retransmit_ms: 200.0,
            endpoint_list_delay_ms: [500.0, 3000.0],
        }
    }
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 2,
            retry_wait_ms: 150.0,
            client_timeout_factor: [0.7, 1.0],
        }
    }
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic { rate: 800.0 }
    }
}

impl Default for Keys {
    fn default() -> Keys {
        Keys {
            count: 20_000,
            skew: 0.9,
            drift: 0.0,
        }
    }
}

impl Default for Caches {
    fn default() -> Caches {
        Caches {
            count: 12,
            cores: 2,
            speed: [0.8, 1.2],
            queue: 40,
            memory: 1000,
            work: WorkDistribution::Lognormal,
            miss_work_ratio: 0.1,
            cold_speed_ratio: 0.5,
            slow_start_ms: 5000.0,
            connections: 1000,
            handshake_ms: 0.5,
            prefilled: true,
        }
    }
}

impl Default for Origin {
    fn default() -> Origin {
        Origin {
            cores: 12,
            work_ms: 20.0,
            queue: 400,
            max_load: 3.0,
            load_window_ms: 3000.0,
        }
    }
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            grace_ms: 400.0,
            max_load: 3.0,
            load_window_ms: 1000.0,
        }
    }
}
