//! The work of stub servers: its duration, and the outage of a server that is overloaded by it.
use std::f64::consts::LN_2;
use std::rc::Rc;
use std::time::Duration;

use quartzhub_policy::Span;
use rand_distr::{Distribution, Exp1, StandardNormal};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::StubServers;
use crate::scenario::WorkDistribution;
use crate::server::{LoadCheck, Work, OVERLOAD_OUTAGE};

/// Longest duration of one piece of work, in microseconds.
const MAX_WORK_US: i64 = 60_000_000;

impl StubServers {
    /// Waits for a core and holds it for a piece of work. `base_duration` is the work's duration on
    /// a server of speed 1 that is neither slowed down nor warming up.
    pub(super) async fn run_work(&self, server: usize, base_duration: Span) {
        let server = &self.servers[server];
        let Ok(_core) = server.cores.acquire().await else {
            return;
        };
        let duration = server
            .model
            .borrow()
            .service_time(base_duration, self.monitor.now());
        sleep(Duration::from_micros(
            duration.0.clamp(0, MAX_WORK_US) as u64
        ))
        .await;
    }

    /// Draws the duration of a piece of work; `mean_ms` is its mean in milliseconds.
    pub(super) fn draw_duration(&self, mean_ms: f64) -> Span {
        let rng = &mut *self.rng.borrow_mut();
        let factor = match self.scenario.caches.work {
            WorkDistribution::Fixed => 1.0,
            WorkDistribution::Exponential => Exp1.sample(rng),
            WorkDistribution::Lognormal => {
                let normal: f64 = StandardNormal.sample(rng);
                let variance = LN_2;
                (normal * variance.sqrt() - variance / 2.0).exp()
            }
        };
        Span::from_ms(mean_ms * factor)
    }

    /// Adds work to a server's demand and returns whether the server can bear it. A server that is
    /// overloaded goes down for `OVERLOAD_OUTAGE`.
    pub(super) fn admit_work(self: &Rc<StubServers>, server: usize, work: Work) -> bool {
        let load_check = self.servers[server].model.borrow_mut().admit_work(
            self.monitor.now(),
            work,
            &self.scenario,
        );
        if load_check == LoadCheck::Admitted {
            return true;
        }
        self.monitor.record_overload(server, load_check);
        self.overloads.set(self.overloads.get() + 1);
        self.take_down(server);
        let stubs = self.clone();
        spawn_local(async move {
            sleep(Duration::from_micros(OVERLOAD_OUTAGE.0 as u64)).await;
            stubs.bring_up(server);
        });
        false
    }
}
