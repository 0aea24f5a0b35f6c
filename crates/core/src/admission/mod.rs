//! Decides whether a program may begin, by the load of the services that programs use.
//!
//! Load pattern: more programs begin than the services can finish in time. Upstreams accept requests
//! into long queues, so every program under way becomes late, and hardly any ends within its target.
//! A program is a chain of requests to several services, and the one that is full may be reached only
//! at its second step. Work is therefore refused where least of it is lost: at the first turn of a
//! program, as long as any service that programs use is full. Requests of programs under way are never
//! refused here.
//!
//! All hosts decide by what upstreams say of their load in answers, so they refuse at about the same
//! load without a message between them. The refused fraction grows with the load; a hash of the program
//! decides whether it belongs to that fraction. So a program that was refused is not let in a moment
//! later, when it can't end in time any more, and others begin at their first try. A host's stale or
//! wrong view of a load costs only its own programs.

use {
    crate::{ids::ServiceId, rendezvous::NameHash},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time after a program's last request to a service for which its load counts.
const SERVICE_USE_TTL: Duration = Duration::from_secs(5);
/// Load, as a fraction of the slots, at which programs are to be held. Above it requests wait in the
/// queues of upstreams.
const TARGET_LOAD: f64 = 1.05;
/// Refused fraction by load above the target, at once: bounds what a sudden burst can begin.
const REFUSED_PER_LOAD: f64 = 1.6;
/// Growth of the refused fraction a second, by load above the target: finds the fraction at which the
/// load stays at the target, however many programs are offered.
const REFUSED_PER_LOAD_S: f64 = 0.4;
/// Maximum load above the target that counts for the growth.
const EXCESS_MAX: f64 = 1.0;
/// Maximum time between two observations that counts for the growth.
const OBSERVATION_INTERVAL_MAX: Duration = Duration::from_millis(200);
/// Load by which programs of a less urgent priority are refused earlier, so that more urgent ones
/// find room.
const PRIORITY_STEP: f64 = 0.1;
/// Number of priorities that are told apart.
const PRIORITY_MAX: u8 = 2;
/// Distinguishes the ranks of programs from other uses of their hashes.
const RANK_SALT: &str = "admission";
/// Minimum time after which a refused program may try again: about the time in which the load that
/// upstreams report follows what was refused.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);
/// Time by which callers are spread that come again.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(600);

/// A program whose first turn has come.
#[derive(Clone, Copy, Debug)]
pub struct NewProgram<'a> {
    /// Id of the program, as its caller names it.
    pub id: &'a str,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
}

impl NewProgram<'_> {
    /// Returns a number from 0 to 1 that is the same at all hosts and tries. Programs with lower ones
    /// are refused first.
    fn rank(&self) -> f64 {
        let weight = NameHash::new(self.id).weight(NameHash::new(RANK_SALT));
        weight as f64 / u64::MAX as f64
    }
}

/// A new program that must not begin now.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramRefusal {
    /// The service with the highest load.
    pub service: ServiceId,
    /// Its load, as a fraction of its slots.
    pub load: f64,
    /// When the program may try again.
    pub retry_after: Duration,
}

/// The services that programs use at this host, and the fraction of new programs that it refuses.
#[derive(Debug, Default)]
pub struct Admission {
    used_at: HashMap<ServiceId, Instant>,
    /// The refused fraction at the target load. Invariant: from 0 to 1.
    refused_fraction: f64,
    observed_at: Option<Instant>,
}

impl Admission {
    /// Records that a request of a program goes to a service, and adapts the refused fraction. `load_of`
    /// returns a service's load as a fraction of its slots, and `None` if it is not known.
    pub fn observe(
        &mut self,
        now: Instant,
        service: &ServiceId,
        load_of: impl Fn(&ServiceId) -> Option<f64>,
    ) {
        match self.used_at.get_mut(service) {
            Some(used_at) => *used_at = now,
            None => {
                self.used_at.retain(|_, at| now.duration_since(*at) < SERVICE_USE_TTL);
                self.used_at.insert(service.clone(), now);
            }
        }
        let interval = self.observed_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.observed_at = Some(now);
        let excess = self.highest_load(now, load_of).map_or(0.0, |(_, load)| load) - TARGET_LOAD;
        let interval_s = interval.min(OBSERVATION_INTERVAL_MAX).as_secs_f64();
        let growth = REFUSED_PER_LOAD_S * excess.min(EXCESS_MAX) * interval_s;
        self.refused_fraction = (self.refused_fraction + growth).clamp(0.0, 1.0);
    }

    /// Decides whether a program may begin. `jitter` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns why the program may not begin, and when it may try again.
    pub fn check(
        &self,
        now: Instant,
        program: &NewProgram<'_>,
        load_of: impl Fn(&ServiceId) -> Option<f64>,
        jitter: f64,
    ) -> Result<(), ProgramRefusal> {
        let Some((service, load)) = self.highest_load(now, load_of) else { return Ok(()) };
        let earlier = PRIORITY_STEP * f64::from(program.priority.min(PRIORITY_MAX));
        let excess = load - (TARGET_LOAD - earlier);
        let refused = self.refused_fraction + REFUSED_PER_LOAD * excess.max(0.0);
        if program.rank() >= refused {
            return Ok(());
        }
        let retry_after = RETRY_AFTER_MIN + RETRY_AFTER_SPREAD.mul_f64(jitter);
        Err(ProgramRefusal { service: service.clone(), load, retry_after })
    }

    /// Returns the service that programs use with the highest load.
    fn highest_load(
        &self,
        now: Instant,
        load_of: impl Fn(&ServiceId) -> Option<f64>,
    ) -> Option<(&ServiceId, f64)> {
        let is_used = |at: &Instant| now.duration_since(*at) < SERVICE_USE_TTL;
        let used = self.used_at.iter().filter(|(_, at)| is_used(at));
        let loads = used.filter_map(|(service, _)| Some((service, load_of(service)?)));
        loads.max_by(|(_, a), (_, b)| a.total_cmp(b))
    }
}

#[cfg(test)]
mod tests;
