//! Draining, resuming and stopping in every order.
use super::*;
use expect_test::expect;

#[test]
fn node_drains_and_resumes_at_any_time() {
    let limits = Limits::default();
    let mut service = ServiceState::default();
    let mut trace = String::new();
    let mut record = |event: &str, at: i64, service: &ServiceState| {
        let now = Time::from_ms(at as f64);
        let ready = service.is_ready();
        let accepts = service.accepts_new_clients();
        let idle = service.idle_client_policy(now, &limits);
        trace += &format!("{at:4} {event}: ready {ready}, accepts {accepts}, idle {idle:?}\n");
    };
    record("new", 0, &service);
    service.on_listening();
    record("starts listening", 0, &service);
    service.resume();
    record("resumes", 0, &service);
    service.start_draining(Time(0));
    record("drains", 0, &service);
    service.start_draining(Time::from_ms(300.0));
    record("drains again", 350, &service);
    record("later", 2000, &service);
    service.resume();
    record("resumes", 2000, &service);
    service.start_draining(Time::from_ms(2000.0));
    service.stop(Time::from_ms(2100.0));
    record("stops", 2100, &service);
    service.resume();
    record("resumes", 2200, &service);
    expect![[r#"
           0 new: ready false, accepts true, idle Keep
           0 starts listening: ready true, accepts true, idle Keep
           0 resumes: ready true, accepts true, idle Keep
           0 drains: ready false, accepts false, idle Keep
         350 drains again: ready false, accepts false, idle CloseAfter(Span(100000))
        2000 later: ready false, accepts false, idle CloseAfter(Span(0))
        2000 resumes: ready true, accepts true, idle Keep
        2100 stops: ready false, accepts true, idle CloseAfter(Span(100000))
        2200 resumes: ready false, accepts true, idle CloseAfter(Span(100000))
    "#]]
    .assert_eq(&trace);
}

/// Checks every sequence of six events, 400 ms apart, against a reference model: the last
/// applicable event decides what a client observes, stopping is final, and idle clients are closed
/// within a bounded time after the drain began.
#[test]
fn stopping_is_final_and_draining_is_bounded_in_any_order() {
    const STEP: i64 = 400;
    let limits = Limits::default();
    let events: [fn(&mut ServiceState, Time); 5] = [
        |service, _| service.on_listening(),
        ServiceState::start_draining,
        |service, _| service.resume(),
        ServiceState::stop,
        |_, _| {},
    ];
    let count = events.len();
    for sequence in 0..count.pow(6) {
        let mut service = ServiceState::default();
        // The reference model.
        let mut started = false;
        let mut draining_since = None;
        let mut stopping_since = None;
        for step in 0..6 {
            let now = Time::from_ms((step * STEP) as f64);
            let event = sequence / count.pow(step as u32) % count;
            events[event](&mut service, now);
            match (event, stopping_since) {
                (0, None) => started = started || draining_since.is_none(),
                (1, None) => draining_since = draining_since.or(Some(now)),
                (2, None) if draining_since.take().is_some() => started = true,
                (3, None) => stopping_since = Some(now),
                _ => {}
            }
            let context = format!("sequence {sequence}, step {step}: {service:?}");
            assert_eq!(
                service.is_ready(),
                started && draining_since.is_none() && stopping_since.is_none(),
                "{context}"
            );
            assert_eq!(
                service.accepts_new_clients(),
                draining_since.is_none() || stopping_since.is_some(),
                "{context}"
            );
            // 0: kept; 1: closed after some idle time; 2: closed as soon as idle.
            let stage = |at: Time| match service.idle_client_policy(at, &limits) {
                IdleClientPolicy::Keep => 0,
                IdleClientPolicy::CloseAfter(quiet) => 1 + i32::from(quiet == Span::ZERO),
            };
            match (stopping_since, draining_since) {
                (None, None) => assert_eq!(stage(now + Span::ms(60_000)), 0, "{context}"),
                (Some(since), _) => {
                    assert!(stage(now) > 0, "{context}");
                    assert_eq!(stage(since + limits.drain_close_idle_after), 2, "{context}");
                }
                (None, Some(since)) => {
                    assert_eq!(stage(since), 0, "{context}");
                    assert!(stage(since + limits.drain_notice) > 0, "{context}");
                    assert_eq!(stage(since + limits.drain_close_idle_after), 2, "{context}");
                }
            }
        }
    }
}
