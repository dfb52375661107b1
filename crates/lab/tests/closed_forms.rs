//! Compares the emulator with closed forms: response times of queues, and an approximation of the
//! hit ratio of an LRU cache.
use quartzhub_lab::run;
use quartzhub_lab::scenario::{Product, Scenario, WorkDistribution};

/// Returns a scenario of one node and one cache with an M/M/c queue, without network delay; the
/// cache has all keys.
fn queue_scenario(cores: usize, load: f64) -> Scenario {
    let mut scenario = Scenario {
        nodes: 1,
        seconds: 400.0,
        settle: 20.0,
        max_attempts: 1,
        ..Scenario::default()
    };
    scenario.policy = "random".into();
    scenario.network.delay_ms = 0.0;
    scenario.network.jitter_ms = 0.0;
    scenario.clients.retries = 0;
    scenario.clients.client_timeout_factor = [1.0, 1.0];
    scenario.keys.count = 10;
    scenario.keys.skew = 0.0;
    scenario.caches.count = 1;
    scenario.caches.cores = cores;
    scenario.caches.queue = 100_000;
    scenario.caches.speed = [1.0, 1.0];
    scenario.caches.work = WorkDistribution::Exponential;
    scenario.caches.memory = 100;
    scenario.caches.handshake_ms = 0.0;
    scenario.products = vec![Product {
        name: "view".into(),
        share: 1.0,
        effect: quartzhub_lab::scenario::Effect::Idempotent,
        write: false,
        slo_ms: 60_000.0,
        timeout_ms: 60_000.0,
        work_ms: 10.0,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        dedup_window_ms: 0.0,
    }];
    scenario.traffic.rate = load * cores as f64 * 100.0;
    scenario
}

/// Returns the mean response time of an M/M/c queue (Erlang C), as a multiple of the mean service
/// time.
fn erlang_c_response_time(cores: usize, load: f64) -> f64 {
    let offered = load * cores as f64;
    let term = |k: usize| (1..=k).fold(1.0, |t, i| t * offered / i as f64);
    let last = term(cores) / (1.0 - load);
    let wait_probability = last / ((0..cores).map(term).sum::<f64>() + last);
    1.0 + wait_probability / (cores as f64 * (1.0 - load))
}

#[test]
fn mean_latency_of_queues_matches_erlang_c() {
    for (cores, load) in [(1, 0.5), (1, 0.7), (2, 0.8), (8, 0.8)] {
        let mut mean = 0.0;
        for seed in 1..=4 {
            let report = run(&Scenario {
                seed,
                ..queue_scenario(cores, load)
            })
            .expect("the scenario is valid");
            mean += report.figure("mean_ms").expect("the figure exists") / 4.0;
        }
        let expected = 10.0 * erlang_c_response_time(cores, load);
        assert!(
            (mean / expected - 1.0).abs() < 0.05,
            "{cores} cores at {load}: {mean:.2} ms, {expected:.2} by Erlang"
        );
    }
}

/// Returns the hit ratio of an LRU cache by Che's approximation: a request hits if the last request
/// for its key came within the time in which as many different keys as fit are requested.
fn che_hit_ratio(count: u64, skew: f64, capacity: f64) -> f64 {
    let weights: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-skew)).collect();
    let sum: f64 = weights.iter().sum();
    let mean_cached_keys = |time: f64| {
        weights
            .iter()
            .map(|w| 1.0 - (-w / sum * time).exp())
            .sum::<f64>()
    };
    let (mut low, mut high) = (0.0, 1e9);
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        if mean_cached_keys(middle) < capacity {
            low = middle
        } else {
            high = middle
        }
    }
    weights
        .iter()
        .map(|w| w / sum * (1.0 - (-w / sum * low).exp()))
        .sum()
}

#[test]
fn lru_hit_ratio_matches_che_approximation() {
    for (count, skew, capacity) in [(5_000, 0.9, 500), (5_000, 0.6, 1_000), (2_000, 1.1, 100)] {
        let mut scenario = queue_scenario(4, 0.3);
        scenario.keys.count = count;
        scenario.keys.skew = skew;
        scenario.caches.memory = capacity;
        scenario.max_attempts = 3;
        scenario.seconds = 300.0;
        scenario.settle = 50.0;
        scenario.traffic.rate = 200.0;
        let report = run(&scenario).expect("the scenario is valid");
        let measured = report.hit_ratio();
        let expected = che_hit_ratio(count, skew, capacity as f64);
        assert!(
            (measured - expected).abs() < 0.02,
            "{count} keys, {skew}, capacity {capacity}: {measured:.3}, {expected:.3} by Che"
        );
    }
}
