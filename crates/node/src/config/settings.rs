//! Validates the settings: those that the policy requires are present, and all have the right type.
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use quartzhub_settings::Settings;
use serde_json::Value;

use crate::error::ConfigError;

/// Longest duration of a setting, in milliseconds: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;
/// Upper bound of the setting for the most attempts of an API call.
const MAX_ATTEMPTS: f64 = 1000.0;
/// Allowed numbers of nodes in a fleet.
const NODE_COUNT: RangeInclusive<f64> = 1.0..=1e6;

/// Error text for a setting that must be a boolean.
const FLAG_NEEDED: &str = "true or false is needed";
/// Error text for a setting that must be a duration.
const DURATION_NEEDED: &str = "a number of milliseconds is needed";

/// A setting that may be absent, but must be valid if it is present.
struct OptionalSetting {
    /// Object of the settings that contains it.
    section: &'static str,
    key: &'static str,
    is_valid: fn(&Value) -> bool,
    /// Error text for an invalid value.
    requirement: &'static str,
}

/// The optional settings that the policy reads.
const OPTIONAL_SETTINGS: [OptionalSetting; 15] = [
    OptionalSetting::flag("Caps", "MayDuplicate"),
    OptionalSetting::flag("Caps", "Cancelling"),
    OptionalSetting::flag("Caps", "RetryAfter"),
    OptionalSetting::amount("Caps", "ReplySlots", "a number of responses is needed"),
    OptionalSetting::duration("Caps", "Keepalive"),
    OptionalSetting::duration("Caps", "MaxRetryAfter"),
    OptionalSetting::flag("Invariants", "DroppedStayOpen"),
    OptionalSetting::duration("Invariants", "WarmWithin"),
    OptionalSetting::ratio("Invariants", "ColdFrom"),
    OptionalSetting::duration("Invariants", "AskWithin"),
    OptionalSetting::duration("Invariants", "DeadlineDrift"),
    OptionalSetting::duration("Invariants", "StampOff"),
    OptionalSetting::duration("Invariants", "RatioSpan"),
    OptionalSetting::amount("Invariants", "ExtraFree", "a number of attempts is needed"),
    OptionalSetting::amount(
        "Invariants",
        "FurtherRatio",
        "a number of attempts per API call is needed",
    ),
];

impl OptionalSetting {
    const fn flag(section: &'static str, key: &'static str) -> OptionalSetting {
        OptionalSetting {
            section,
            key,
            is_valid: Value::is_boolean,
            requirement: FLAG_NEEDED,
        }
    }

    const fn duration(section: &'static str, key: &'static str) -> OptionalSetting {
        OptionalSetting {
            section,
            key,
            is_valid: is_duration,
            requirement: DURATION_NEEDED,
        }
    }

    const fn ratio(section: &'static str, key: &'static str) -> OptionalSetting {
        OptionalSetting {
            section,
            key,
            is_valid: is_ratio,
            requirement: "a number from 0 to 1 is needed",
        }
    }

    const fn amount(
        section: &'static str,
        key: &'static str,
        requirement: &'static str,
    ) -> OptionalSetting {
        OptionalSetting {
            section,
            key,
            is_valid: is_amount,
            requirement,
        }
    }

    fn check(&self, settings: &Value) -> Result<(), ConfigError> {
        let value = settings
            .get(self.section)
            .map_or(&Value::Null, |section| &section[self.key]);
        if value.is_null() || (self.is_valid)(value) {
            return Ok(());
        }
        let path = format!(".{}.{}", self.section, self.key);
        Err(invalid(&path, self.requirement))
    }
}

/// Validates the settings and returns them in the form that the policy reads.
pub(super) fn checked_settings(
    settings: &Value,
    ignored_errors: &mut Vec<ConfigError>,
) -> Result<Settings, ConfigError> {
    if !settings.is_object() {
        return Err(invalid("", "an object is needed"));
    }
    let products = settings
        .get("Products")
        .and_then(Value::as_array)
        .filter(|products| !products.is_empty())
        .ok_or_else(|| invalid(".Products", "a list of at least one product is needed"))?;
    check_max_attempts(settings)?;
    for setting in &OPTIONAL_SETTINGS {
        setting.check(settings)?;
    }
    check_node_count(settings)?;
    check_tenants(settings)?;
    check_products(products, ignored_errors)?;
    Ok(Settings::from_document(settings))
}

fn check_max_attempts(settings: &Value) -> Result<(), ConfigError> {
    let attempts = settings.get("Caps").and_then(|caps| caps.get("MostShots"));
    match attempts {
        Some(attempts) if !is_positive(attempts, MAX_ATTEMPTS) => Err(invalid(
            ".Caps.MostShots",
            "a number of attempts above 0 is needed",
        )),
        _ => Ok(()),
    }
}

fn check_node_count(settings: &Value) -> Result<(), ConfigError> {
    let is_valid = |count: &Value| {
        count
            .as_f64()
            .is_some_and(|count| NODE_COUNT.contains(&count))
    };
    match settings.get("Balancers") {
        Some(count) if !is_valid(count) => Err(invalid(
            ".Balancers",
            "a number of nodes of at least 1 is needed",
        )),
        _ => Ok(()),
    }
}

fn check_tenants(settings: &Value) -> Result<(), ConfigError> {
    let tenants = settings.get("Projects").and_then(Value::as_array);
    for (i, tenant) in tenants.into_iter().flatten().enumerate() {
        let rate = &tenant["QuotaPerS"];
        if !rate.is_null() && !is_amount(rate) {
            return Err(invalid(
                &format!(".Projects[{i}].QuotaPerS"),
                "a number of API calls per second is needed",
            ));
        }
    }
    Ok(())
}

fn check_products(
    products: &[Value],
    ignored_errors: &mut Vec<ConfigError>,
) -> Result<(), ConfigError> {
    let mut names = BTreeSet::new();
    for (i, product) in products.iter().enumerate() {
        let path = format!(".Products[{i}]");
        let name = product
            .get("Name")
            .and_then(Value::as_str)
            .ok_or_else(|| invalid(&format!("{path}.Name"), "a string is needed"))?;
        if !names.insert(name) {
            let reason = format!("{name:?} is used by more than one product");
            return Err(invalid(&format!("{path}.Name"), &reason));
        }
        check_product_times(product, &path)?;
        if !has_known_effect(product) {
            let reason =
                "not one of idempotent, deduplicated and at_most_once; treated as at_most_once";
            ignored_errors.push(invalid(&format!("{path}.Effect"), reason));
        }
    }
    Ok(())
}

fn check_product_times(product: &Value, path: &str) -> Result<(), ConfigError> {
    for key in ["LatencySlo", "ClientTimeout"] {
        let time = product.get(key);
        if !time.is_some_and(|time| is_positive(time, MAX_DURATION_MS)) {
            return Err(invalid(
                &format!("{path}.{key}"),
                "a number of milliseconds above 0 is needed",
            ));
        }
    }
    Ok(())
}

fn has_known_effect(product: &Value) -> bool {
    product.get("Effect").is_none_or(|effect| {
        matches!(
            effect.as_str(),
            Some("idempotent" | "deduplicated" | "at_most_once")
        )
    })
}

fn invalid(path: &str, reason: &str) -> ConfigError {
    ConfigError::invalid_value(format!("settings{path}"), reason)
}

fn is_positive(value: &Value, max: f64) -> bool {
    value
        .as_f64()
        .is_some_and(|number| number > 0.0 && number <= max)
}

fn is_duration(value: &Value) -> bool {
    value
        .as_f64()
        .is_some_and(|ms| (0.0..=MAX_DURATION_MS).contains(&ms))
}

fn is_amount(value: &Value) -> bool {
    value.as_f64().is_some_and(|amount| amount >= 0.0)
}

fn is_ratio(value: &Value) -> bool {
    value
        .as_f64()
        .is_some_and(|ratio| (0.0..=1.0).contains(&ratio))
}
