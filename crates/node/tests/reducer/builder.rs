//! Starts harnesses: the configuration of the node, and the events before a test begins.
use super::common::*;

/// The full rest of an upstream, as a multiple of its reuse delay.
const FULL_REST_FACTOR: f64 = 5.0;

/// The configuration of a harness, which starts with a cache `a` and an origin `o`, and with an API
/// call if the test begins with one.
pub struct HarnessBuilder {
    limits: String,
    settings: String,
    reuse_delay: Span,
}

impl HarnessBuilder {
    /// Sets the limits of the configuration, as JSON.
    pub fn limits(mut self, limits: &str) -> HarnessBuilder {
        self.limits = limits.to_owned();
        self
    }

    pub fn settings(mut self, settings: &str) -> HarnessBuilder {
        self.settings = settings.to_owned();
        self
    }

    /// Sets how long an upstream must be idle before it is reused.
    pub fn reuse_delay(mut self, reuse_delay: Span) -> HarnessBuilder {
        self.reuse_delay = reuse_delay;
        self
    }

    pub fn start(self) -> Harness {
        let HarnessBuilder {
            limits, settings, ..
        } = &self;
        let text = format!(
            r#"{{"listen":"127.0.0.1:1","seed":"5","limits":{limits},"settings":{settings}}}"#
        );
        let mut config = Config::parse(&text, Environment::default()).expect("valid configuration");
        config.limits.upstream_reuse_delay = self.reuse_delay;
        config.limits.upstream_full_rest = self.reuse_delay.times(FULL_REST_FACTOR);
        let mut harness = Harness {
            reducer: Reducer::new(&config),
            now: 0,
            trace: String::new(),
        };
        harness.reducer.start(Time(0));
        harness.update_list(true, &[("a", 1, "in_service"), ("o", 9, "in_service")]);
        harness.trace.clear();
        harness
    }

    /// Starts with client 1 and its API call `c1`.
    pub fn with_call(self, product: &str, time_left: i64) -> (Harness, ClientId) {
        let mut harness = self.start();
        let client = harness.add_client();
        harness.call(client, product, "c1", time_left);
        (harness, client)
    }

    /// Starts as `with_call`, with the call written on upstream 2.
    pub fn with_call_in_flight(self, product: &str, time_left: i64) -> (Harness, ClientId) {
        let (mut harness, client) = self.with_call(product, time_left);
        harness.connect(2);
        (harness, client)
    }

    /// Starts with client 1, and with upstreams 2 and 3 to the origin, which had their last responses
    /// at 5 and 0 ms.
    pub fn with_two_origin_responses(self) -> (Harness, ClientId) {
        let mut harness = self.start();
        let client = harness.add_client();
        harness.write(client, "c1", 400);
        harness.connect(2);
        harness.write(client, "c2", 400);
        harness.connect(3);
        harness.respond("stored", 3, value("r2"));
        harness.advance(5);
        harness.respond("stored", 2, value("r1"));
        harness.trace.clear();
        (harness, client)
    }

    /// Starts as `with_call_in_flight`, with `v` as the response to the call; `label` is printed
    /// for the response.
    pub fn with_successful_call(
        self,
        product: &str,
        time_left: i64,
        label: &str,
    ) -> (Harness, ClientId) {
        let (mut harness, client) = self.with_call_in_flight(product, time_left);
        harness.respond(label, 2, value("v"));
        (harness, client)
    }
}

impl Harness {
    /// Returns a configuration in which upstreams are reused without a delay, so that traces stay
    /// short; tests of the reuse delay set one.
    pub fn builder() -> HarnessBuilder {
        HarnessBuilder {
            limits: "{}".to_owned(),
            settings: SETTINGS.to_owned(),
            reuse_delay: Span::ZERO,
        }
    }
}
