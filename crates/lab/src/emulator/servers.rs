//! The servers' side of an attempt: connections, queues, work and caches; server stop and restart.
use quartzhub_policy::{Outcome, Span};

use super::event::{
    AttemptDelivery, AttemptEnd, Cancellation, Event, FinishedWork, PendingConnection, ValueStore,
};
use super::state::Simulation;
use crate::metric::Metric;
use crate::server::{Health, Job, LoadCheck, Work, OVERLOAD_OUTAGE};

impl Simulation {
    /// Handles a node's request for a new connection.
    pub(super) fn on_connect(&mut self, pending: PendingConnection) {
        let delay = self.network_delay();
        let max_connections = self.scenario.caches.connections;
        let server = &mut self.servers[pending.server];
        let is_full = !server.origin && server.connections >= max_connections;
        if server.health == Health::Down || is_full {
            self.report.refused_connections += 1;
            let attempt_end = AttemptEnd {
                node_incarnation: Some(pending.node_incarnation),
                ..AttemptEnd::of_job(&pending.job, pending.server, Outcome::Unreachable)
            };
            return self.schedule_after(delay, Event::AttemptEnded(attempt_end));
        }
        server.connections += 1;
        let incarnation = server.incarnation;
        let connected = Event::Connected {
            pending,
            incarnation,
        };
        self.schedule_after(delay, connected);
    }

    pub(super) fn on_attempt_arrived(&mut self, delivery: AttemptDelivery) {
        let AttemptDelivery {
            mut job, server, ..
        } = delivery;
        let delay = self.network_delay();
        let attempt_end =
            |outcome| Event::AttemptEnded(AttemptEnd::of_job(&delivery.job, server, outcome));
        let server_state = &mut self.servers[server];
        if server_state.health == Health::Down || server_state.incarnation != delivery.incarnation {
            // The connection led to an earlier incarnation, which may have executed what was sent
            // on it.
            return self.schedule_after(delay, attempt_end(Outcome::Reset));
        }
        if server_state.health == Health::Hung {
            return server_state.queue.push_back(job);
        }
        if !self.admit_attempt(&job, server) {
            return self.schedule_after(delay, attempt_end(Outcome::Reset));
        }
        if self.servers[server].is_full() {
            self.report.count(self.now, Metric::Overloaded);
            return self.schedule_after(delay, attempt_end(Outcome::Overloaded));
        }
        if delivery.new_connection {
            job.work = job.work + Span::from_ms(self.scenario.caches.handshake_ms);
        }
        self.servers[server].queue.push_back(job);
        self.begin_work(server);
    }

    /// Accounts for the work of a new attempt; false if it overloads the server, which then stops.
    /// Rule 4: a cold cache stops when it is sent too much work, and so does the origin.
    fn admit_attempt(&mut self, job: &Job, server: usize) -> bool {
        let now = self.now;
        let work = Work {
            key: job.key,
            write: job.write,
            base_duration: job.work,
            caused_by_cold_miss: job.caused_by_cold_miss,
        };
        let load_check = self.servers[server].admit_work(now, work, &self.scenario);
        match load_check {
            LoadCheck::Admitted => return true,
            LoadCheck::OriginOverloaded { .. } => self.report.origin_overloads += 1,
            LoadCheck::ColdOverloaded => self.report.cache_overloads += 1,
        }
        if let Some(violation) = load_check.violation(server) {
            self.checker.record_overload(now, &violation);
        }
        self.stop_server(server);
        self.schedule_after(OVERLOAD_OUTAGE, Event::ServerRestarted { server });
        false
    }

    /// Starts queued jobs on the server's free cores.
    pub(super) fn begin_work(&mut self, server: usize) {
        while let Some(job) = self.servers[server].next_job() {
            self.begin_job(server, job);
        }
    }

    fn begin_job(&mut self, server: usize, job: Job) {
        let now = self.now;
        let server_state = &mut self.servers[server];
        let miss = !server_state.origin && !job.write && !server_state.cache.get(job.key);
        let work_ratio = if miss {
            self.scenario.caches.miss_work_ratio
        } else {
            1.0
        };
        let duration = server_state.service_time(job.work.times(work_ratio), now);
        server_state.running.push(job);
        let incarnation = server_state.incarnation;
        self.checker.record_execution(now, job.call, server, miss);
        let finished = FinishedWork {
            job,
            server,
            incarnation,
            miss,
        };
        self.schedule_after(duration, Event::WorkFinished(finished));
    }

    pub(super) fn on_attempt_cancelled(&mut self, cancellation: Cancellation) {
        let server = &mut self.servers[cancellation.server];
        if server.incarnation != cancellation.incarnation || server.health == Health::Down {
            return;
        }
        let (queued, running) = (server.queue.len(), server.running.len());
        server.queue.retain(|job| job.id != cancellation.job_id);
        server.running.retain(|job| job.id != cancellation.job_id);
        // Cancelling an attempt closes its connection.
        server.release_connections(1);
        if server.queue.len() < queued {
            self.report.count(self.now, Metric::CancelledInQueue);
        } else if server.running.len() < running {
            self.report.count(self.now, Metric::CancelledWhileRunning);
        }
        self.begin_work(cancellation.server);
    }

    pub(super) fn on_value_stored(&mut self, value: ValueStore) {
        let server = &mut self.servers[value.server];
        if server.incarnation == value.incarnation {
            server.cache.put(value.key);
        }
    }

    /// Discards all jobs of a server; their nodes see their connections end with `outcome`.
    pub(super) fn reset_jobs(&mut self, server: usize, outcome: Outcome) {
        for job in self.servers[server].stop() {
            let delay = self.network_delay();
            let attempt_end = AttemptEnd::of_job(&job, server, outcome);
            self.schedule_after(delay, Event::AttemptEnded(attempt_end));
        }
    }

    pub(super) fn stop_server(&mut self, server: usize) {
        self.servers[server].health = Health::Down;
        self.reset_jobs(server, Outcome::Reset);
    }

    /// Restarts a server with an empty cache. A cache is cold afterwards, the origin is not.
    pub(super) fn restart_server(&mut self, server: usize) {
        let now = self.now;
        self.servers[server].restart(now);
    }
}
