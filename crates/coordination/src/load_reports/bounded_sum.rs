//! Sums of reported loads, in which each node's value is limited to a multiple of the median.
#[cfg(test)]
mod tests;

/// One node's reported load.
#[derive(Debug, Clone, Copy)]
pub struct WeightedLoad {
    /// Weight of the report, from 0 to 1, which falls with its age.
    pub weight: f64,
    pub attempts_in_flight: f64,
    pub responses_per_second: f64,
}

fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Returns the upper bound of one quantity: `max_medians` times the median of the positive values;
/// none if at most half of the nodes report a positive value.
fn upper_bound(
    loads: &[WeightedLoad],
    max_medians: f64,
    quantity: fn(&WeightedLoad) -> f64,
) -> Option<f64> {
    let positive: Vec<f64> = loads.iter().map(quantity).filter(|n| *n > 0.0).collect();
    (positive.len() * 2 > loads.len()).then(|| max_medians * median(positive))
}

/// Returns the mean duration of an attempt in seconds: attempts in flight divided by responses per
/// second. Whatever it reports, one node of `n` changes either sum of `n` terms by at most
/// `max_medians` medians. A node that reports no responses adds only its attempts.
pub fn attempt_time(loads: &[WeightedLoad], max_medians: f64) -> Option<f64> {
    let max_in_flight = upper_bound(loads, max_medians, |load| load.attempts_in_flight)?;
    let max_responses = upper_bound(loads, max_medians, |load| load.responses_per_second)?;
    let in_flight: f64 = loads
        .iter()
        .map(|load| load.weight * load.attempts_in_flight.min(max_in_flight))
        .sum();
    let responses: f64 = loads
        .iter()
        .map(|load| load.weight * load.responses_per_second.min(max_responses))
        .sum();
    (responses > 0.0).then(|| in_flight / responses)
}
