//! Reads the policy's configuration from settings. The names of the settings are known here; the
//! policy knows none of them.
use quartzhub_policy::{
    DedupScope, EndpointListConfig, Idempotency, PolicyConfig, Product, RetryBudgetConfig,
    SlowStartConfig, Span,
};

use crate::settings::Settings;

/// Client timeout of products that do not state one.
const DEFAULT_CLIENT_TIMEOUT: Span = Span::ms(1_000);
/// Least latency objective, so that durations can be divided by it.
const MIN_LATENCY_OBJECTIVE: Span = Span::ms(1);

/// Returns the policy's configuration. Missing settings get safe defaults: no duplicates, no
/// cancelling, no Retry-After, one attempt.
pub fn policy_config(settings: &Settings) -> PolicyConfig {
    let defaults = PolicyConfig::default();
    PolicyConfig {
        products: products(settings),
        tenant_quotas: tenant_quotas(settings),
        nodes: settings.nodes(),
        cache_aside: settings.text("extra.mode") == "aside",
        origin_kind: origin_kind(settings),
        max_retry_after: max_retry_after(settings),
        max_attempts: settings.number("caps.most_shots", 1.0).max(1.0) as usize,
        may_duplicate: settings.flag("caps.may_duplicate"),
        may_cancel: settings.flag("caps.cancelling"),
        retry_budget: RetryBudgetConfig {
            window: settings.span("invariants.ratio_span", Span::ZERO),
            free_attempts: settings.number("invariants.extra_free", 0.0),
            attempts_per_call: settings.number("invariants.further_ratio", 0.0),
        },
        slow_start: slow_start(settings, defaults.slow_start),
        keepalive: keepalive(settings),
        endpoint_list: EndpointListConfig {
            polled: settings.text("membership_mode") == "on_request",
            poll_interval: settings.span(
                "invariants.ask_within",
                defaults.endpoint_list.poll_interval,
            ),
        },
        delisted_endpoints_stay_usable: settings.flag("invariants.dropped_stay_open"),
        late_responses_count_against_keys: settings.number("caps.reply_slots", 0.0) > 0.0,
        deadline_drift: settings.span("invariants.deadline_drift", Span::ZERO),
        start_time_skew: settings.span("invariants.stamp_off", Span::ZERO),
    }
}

/// Returns the products in their order. A missing effect is read as non-idempotent, a missing key
/// scope as one server.
pub fn products(settings: &Settings) -> Vec<Product> {
    (0..settings.count("products"))
        .map(|i| product(settings, i))
        .collect()
}

fn product(settings: &Settings, i: usize) -> Product {
    let name = |field: &str| format!("products.{i}.{field}");
    let client_timeout = settings.span(&name("client_timeout"), DEFAULT_CLIENT_TIMEOUT);
    Product {
        latency_objective: settings
            .span(&name("latency_slo"), client_timeout)
            .max(MIN_LATENCY_OBJECTIVE),
        client_timeout,
        priority_weight: settings.number(&name("billed_value"), 1.0).max(0.0),
        late_priority_weight: settings.number(&name("tardy_billed_value"), 0.0),
        idempotency: idempotency(settings.text(&name("effect"))),
        dedup_scope: dedup_scope(settings.text(&name("key_scope"))),
        dedup_window: settings.span(&name("window"), Span::ZERO),
    }
}

fn idempotency(effect: &str) -> Idempotency {
    match effect {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::Deduplicated,
        _ => Idempotency::NonIdempotent,
    }
}

fn dedup_scope(key_scope: &str) -> DedupScope {
    match key_scope {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::One,
    }
}

fn tenant_quotas(settings: &Settings) -> Vec<f64> {
    (0..settings.count("projects"))
        .map(|i| settings.number(&format!("projects.{i}.quota_per_s"), 0.0))
        .collect()
}

fn origin_kind(settings: &Settings) -> Option<u32> {
    let kind = settings.number("extra.origin_kind", -1.0);
    let is_index = kind >= 0.0 && kind <= f64::from(u32::MAX) && kind.fract() == 0.0;
    is_index.then_some(kind as u32)
}

fn max_retry_after(settings: &Settings) -> Option<Span> {
    let permitted = settings.flag("caps.retry_after");
    permitted.then(|| settings.span("caps.max_retry_after", Span::ZERO))
}

fn slow_start(settings: &Settings, defaults: SlowStartConfig) -> SlowStartConfig {
    SlowStartConfig {
        initial_load_ratio: settings
            .number("invariants.cold_from", defaults.initial_load_ratio)
            .clamp(0.0, 1.0),
        duration: settings.span("invariants.warm_within", defaults.duration),
    }
}

fn keepalive(settings: &Settings) -> Option<Span> {
    let ms = settings.number("caps.keepalive", f64::NAN);
    (!ms.is_nan()).then(|| Span::from_ms(ms.max(0.0)))
}
