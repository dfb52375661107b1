use super::*;
use crate::attempt::{Attempt, AttemptCause};
use crate::endpoint::ServerIndex;

fn recorded_after_many_calls(budget: &mut RetryBudget) -> usize {
    for i in 0..200_000 {
        let attempt = Attempt::new(ServerIndex(1), Time(i), AttemptCause::Routed);
        let mut call = Call {
            attempts: vec![attempt],
            ..Call::default()
        };
        budget.record_call(Time(i));
        if budget.allows(Time(i)) {
            budget.charge(&mut call, Time(i));
        }
    }
    budget.additional_attempts.len() + budget.calls.len()
}

#[test]
fn limited_budget_bounds_its_records_and_unlimited_keeps_none() {
    assert_eq!(recorded_after_many_calls(&mut RetryBudget::default()), 0);
    let mut one_day = RetryBudget {
        config: RetryBudgetConfig {
            window: Span::ms(86_400_000),
            free_attempts: 1e9,
            attempts_per_call: 1.0,
        },
        ..RetryBudget::default()
    };
    assert_eq!(recorded_after_many_calls(&mut one_day), 2 * MAX_RECORDED);
}
