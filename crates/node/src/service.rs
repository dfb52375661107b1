//! Whether the node takes clients: operators send them away and call them back, and SIGTERM ends it. A plain
//! state machine; the reducer asks it what to do with a client at hand.
use quartzhub_policy::{Span, Time};

use crate::limits::Limits;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    /// The process has yet to take its first client.
    #[default]
    Starting,
    In,
    /// Operators have sent clients away.
    Leaving(Time),
    /// For good.
    Stopping(Time),
}

#[derive(Debug, Default)]
pub struct Service(State);

/// How a client is treated that has no command open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idle {
    Kept,
    /// Closed, if nothing comes from it for this long.
    Closed(Span),
}

impl Service {
    pub fn starts(&mut self) {
        if self.0 == State::Starting {
            self.0 = State::In;
        }
    }

    /// Clients are to go elsewhere. Told twice, the first time counts.
    pub fn leave(&mut self, now: Time) {
        if matches!(self.0, State::Starting | State::In) {
            self.0 = State::Leaving(now);
        }
    }

    /// Clients are welcome again, however far the leaving has come.
    pub fn come_back(&mut self) {
        if matches!(self.0, State::Leaving(_)) {
            self.0 = State::In;
        }
    }

    pub fn stop(&mut self, now: Time) {
        if !matches!(self.0, State::Stopping(_)) {
            self.0 = State::Stopping(now);
        }
    }

    pub fn is_in(&self) -> bool {
        self.0 == State::In
    }

    /// What the front is told, and so where it sends clients; on stopping it goes by the connections.
    pub fn welcomes(&self) -> bool {
        !matches!(self.0, State::Leaving(_))
    }

    /// Guards against closing clients before the front sends them elsewhere, as they would come back at once; and
    /// then against those that ask so often that no pause is ever found.
    pub fn idle(&self, now: Time, limits: &Limits) -> Idle {
        let since = match self.0 {
            State::Starting | State::In => return Idle::Kept,
            State::Leaving(at) if now - at < limits.leave_front => return Idle::Kept,
            State::Leaving(at) | State::Stopping(at) => now - at,
        };
        Idle::Closed(if since < limits.leave_firm { limits.last_read } else { Span::ZERO })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn clients_are_sent_away_and_called_back_at_any_moment() {
        let limits = Limits::default();
        let mut service = Service::default();
        let mut trace = String::new();
        let mut note = |what: &str, at: i64, service: &Service| {
            let (now, is_in) = (Time::from_ms(at as f64), service.is_in());
            let (welcomes, idle) = (service.welcomes(), service.idle(now, &limits));
            trace += &format!("{at:4} {what}: in {is_in}, welcomes {welcomes}, idle {idle:?}\n");
        };
        note("new", 0, &service);
        service.starts();
        note("starts", 0, &service);
        service.come_back();
        note("called back", 0, &service);
        service.leave(Time(0));
        note("leaves", 0, &service);
        service.leave(Time::from_ms(300.0));
        note("told again", 350, &service);
        note("later", 2000, &service);
        service.come_back();
        note("called back", 2000, &service);
        service.leave(Time::from_ms(2000.0));
        service.stop(Time::from_ms(2100.0));
        note("stops", 2100, &service);
        service.come_back();
        note("called back", 2200, &service);
        expect![[r#"
               0 new: in false, welcomes true, idle Kept
               0 starts: in true, welcomes true, idle Kept
               0 called back: in true, welcomes true, idle Kept
               0 leaves: in false, welcomes false, idle Kept
             350 told again: in false, welcomes false, idle Closed(Span(100000))
            2000 later: in false, welcomes false, idle Closed(Span(0))
            2000 called back: in true, welcomes true, idle Kept
            2100 stops: in false, welcomes true, idle Closed(Span(100000))
            2200 called back: in false, welcomes true, idle Closed(Span(100000))
        "#]]
        .assert_eq(&trace);
    }
}
