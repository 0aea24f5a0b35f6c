//! Decides whether a program may begin, by the time that it has left and the queues ahead of it.
//!
//! Load pattern: more programs begin than the services can finish in time, up to five times as many
//! from one moment to the next. Upstreams accept requests into long queues, so every program under way
//! becomes late, and hardly any ends within its target. A program is a chain of requests to several
//! services, and the one that is full may be reached only at its second step. Work is therefore refused
//! where least of it is lost: at the first turn of a program. Requests of programs under way are never
//! refused here.
//!
//! The *pressure* on a program is the time that it would spend in queues at present, as a fraction of
//! the time that its target leaves for that. A short queue that programs seldom meet adds little to it,
//! and neither does a busy service whose requests are short. While the pressure is low, every program
//! begins.
//!
//! When it rises, the host *limits* new programs: each needs a credit. Requests of programs under way
//! earn credits, so that about one program begins for each that ends. What begins is bounded by what the
//! services carry, however much is offered and however old the host's view of their loads is, and the
//! pressure corrects it only slightly: views of hosts that see one program a second lag by up to a
//! second, and a strong correction makes the queues oscillate. Hosts exchange no messages. A host's stale
//! or wrong view costs only programs of its own callers.

mod needs;

use {
    crate::{ids::ServiceId, rendezvous::NameHash},
    needs::{DecayingRate, ProgramNeeds},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Pressure above which the host begins to limit new programs. With 0.35, queues of a small busy service
/// whose requests are short led to refusals of programs that would have ended in time.
const PRESSURE_LIMITED: f64 = 0.5;
/// Pressure below which the queues may run empty, so that more programs must begin.
const PRESSURE_LOW: f64 = 0.2;
/// Pressure at which one program begins for each that ends: the queues keep the services busy, and
/// programs end in time although queues vary.
const PRESSURE_TARGET: f64 = 0.5;
/// Pressure at which a program that takes a credit would still end in time. Above the target, because
/// queues vary around it.
const PRESSURE_IN_TIME: f64 = 0.7;
/// Pressure above which no program begins. It lies above 1.0 because fewer begin than end meanwhile, so
/// queues become shorter while a program runs.
const PRESSURE_MAX: f64 = 1.2;
/// Programs that begin for each that ends at low pressure.
const RATE_LOW_PRESSURE: f64 = 2.0;
/// Change of the programs that begin for each that ends, by pressure above the target. With 1.0, queues
/// of 65 hosts oscillate between empty and too long.
const RATE_PER_PRESSURE: f64 = 0.5;
/// Minimum number of programs that begin for each that ends.
const RATE_MIN: f64 = 0.7;
/// Maximum number of saved credits. With 3.0, 65 hosts begin too many at once.
const CREDITS_MAX: f64 = 2.0;
/// How long the pressure must stay low before the limit ends: more than a program takes.
const LIMIT_TIME: Duration = Duration::from_secs(2);
/// How long the limit lasts at most while the host knows no delays.
const LIMIT_TIME_UNKNOWN: Duration = Duration::from_secs(8);
/// Time after which one program begins without a credit if none has, and no answer to a program's request
/// has come. The host learns from it whether the services still are full. With 1.0 s, hosts that see one
/// program a second leave the services idle after an overload.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The same while answers come. They say that the services are full, but may mislead.
const PROBE_INTERVAL_ANSWERED: Duration = Duration::from_secs(8);
/// Time in queues that any program tolerates, as a fraction of its time without queues. A program that
/// ends a little late still has value, and short queues are usual.
const TOLERANCE_MIN: f64 = 0.2;
/// Delay that counts as a pressure of 1.0 while the needs of programs are not known.
const DEFAULT_DELAY_MAX: Duration = Duration::from_millis(100);
/// Number of requests of a program while it is not known.
const DEFAULT_REQUESTS: f64 = 10.0;
/// Additional credits that a program needs for each step of its priority.
const PRIORITY_STEP: f64 = 0.4;
/// Number of priorities below the most urgent that are told apart.
const LESS_URGENT: usize = 2;
/// Fraction of the credits that is set aside for each less urgent priority, so that none is starved.
const RESERVED_SHARE: f64 = 0.05;
/// Maximum time until a target that counts. Callers may name any; longer ones say that nothing is urgent.
const TARGET_MAX: Duration = Duration::from_secs(3600);
/// How long a refused program is remembered: longer than callers try.
const REFUSED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of refused programs that are remembered: over 10 s of all programs of a large site.
const REFUSED_MAX: usize = 1024;
/// Minimum time after which a refused program may try again: about the time in which the load that
/// upstreams report follows what was refused.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Maximum time after which a program that names no target may try again.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);
/// Fraction of the time that they have left for which callers wait at most.
const RETRY_AFTER_FRACTION_MAX: f64 = 1.0 / 3.0;

/// A program whose first turn has come.
#[derive(Clone, Copy, Debug)]
pub struct NewProgram<'a> {
    /// Id of the program, as its caller names it.
    pub id: &'a str,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Time left until its target, if its caller names one.
    pub time_left: Option<Duration>,
}

/// A new program that must not begin now, with what this was decided by.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramRefusal {
    /// The service in whose queues programs spend most time. `None` if no delay is known any more.
    pub service: Option<ServiceId>,
    /// How long requests wait there.
    pub delay: Duration,
    /// Time that the program would spend in queues, as a fraction of what its target leaves for that.
    pub pressure: Option<f64>,
    /// Time since the last answer to a program's request, from which the delays are known.
    pub view_age: Option<Duration>,
    /// Credits that the host has saved.
    pub credits: f64,
    /// Fraction of a program's target that it takes without queues, if it is known.
    pub unqueued_share: Option<f64>,
    /// When the program may try again.
    pub retry_after: Duration,
}

/// A program that was refused.
#[derive(Debug)]
struct RefusedProgram {
    /// Time left until its target at its first try.
    target: Option<Duration>,
    refused_at: Instant,
}

/// The time that a program of the mean target spends in queues.
#[derive(Clone, Debug)]
struct Queues {
    /// The service in whose queues it is longest.
    service: ServiceId,
    /// How long one request waits there.
    delay: Duration,
    /// Time in the queues of all services.
    total: Duration,
}

/// What programs need of the services, and how many of them may begin at this host.
#[derive(Debug, Default)]
pub struct Admission {
    needs: ProgramNeeds,
    /// When the pressure was last too high, while new programs are limited.
    limited_at: Option<Instant>,
    /// Invariant: from 0 to [`CREDITS_MAX`].
    credits: f64,
    /// Credits set aside for less urgent priorities. Invariant: each from 0 to 1.
    reserved: [f64; LESS_URGENT],
    /// Credits that are earned.
    earned: DecayingRate,
    /// Programs that are refused, at each try.
    refusals: DecayingRate,
    began_at: Option<Instant>,
    answered_at: Option<Instant>,
    /// Invariant: at most [`REFUSED_MAX`] programs.
    refused: HashMap<NameHash, RefusedProgram>,
}

impl Admission {
    /// Records that a request of a program goes to a service. The first turn of a program counts only
    /// after [`Self::check`] has let it begin. `delay_of` returns how long requests wait at a service,
    /// and `None` if it is not known.
    pub fn observe(
        &mut self,
        now: Instant,
        service: &ServiceId,
        delay_of: impl Fn(&ServiceId) -> Option<Duration>,
    ) {
        self.needs.record_request(now, service);
        let queues = self.queues(delay_of);
        let pressure = queues.map(|queues| self.pressure(&queues, None, None));
        self.update_limit(now, pressure);
        let earned = credit_rate(pressure.unwrap_or(PRESSURE_TARGET))
            / self.needs.requests_per_program().unwrap_or(DEFAULT_REQUESTS);
        self.earned.add(now, earned);
        // Full reserves leave their share to all.
        let mut shared = earned;
        for reserved in &mut self.reserved {
            let share = (earned * RESERVED_SHARE).min(1.0 - *reserved);
            *reserved += share;
            shared -= share;
        }
        self.credits = (self.credits + shared).min(CREDITS_MAX);
    }

    /// Records how long a request of a program took, and how long requests waited at its service
    /// meanwhile, if it is known.
    pub fn record_answer(&mut self, now: Instant, took: Duration, delay: Option<Duration>) {
        self.answered_at = Some(now);
        self.needs.record_answer(now, took, delay.unwrap_or_default());
    }

    /// Decides whether a program may begin. `jitter` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns why the program may not begin, and when it may try again.
    pub fn check(
        &mut self,
        now: Instant,
        program: &NewProgram<'_>,
        delay_of: impl Fn(&ServiceId) -> Option<Duration>,
        jitter: f64,
    ) -> Result<(), ProgramRefusal> {
        self.needs.advance(now);
        let id = NameHash::new(program.id);
        let time_left = program.time_left.map(|time_left| time_left.min(TARGET_MAX));
        // A program that has no time left at its first try says nothing of what programs need.
        let named = time_left.filter(|time_left| !time_left.is_zero());
        let refused_before = self.refused.get(&id).filter(|refused| refused.is_recent(now));
        let target = refused_before.map_or(named, |refused| refused.target);
        let queues = self.queues(delay_of);
        let pressure = queues.as_ref().map(|queues| self.pressure(queues, target, time_left));
        self.update_limit(now, pressure);
        let may_begin = self.limited_at.is_none()
            || (self.ends_in_time(target, time_left)
                && (self.is_probe_due(now)
                    || (self.has_credit(program.priority)
                        && pressure.is_none_or(|pressure| pressure <= PRESSURE_MAX))));
        if may_begin {
            self.take_credit(program.priority);
            self.refused.remove(&id);
            self.began_at = Some(now);
            self.needs.record_begin(now, target);
            return Ok(());
        }
        self.record_refused(now, id, target);
        let (service, delay) = queues.map(|queues| (queues.service, queues.delay)).unzip();
        let delay = delay.unwrap_or_default();
        Err(ProgramRefusal {
            service,
            delay,
            pressure,
            view_age: self.answered_at.map(|at| now.saturating_duration_since(at)),
            credits: self.credits,
            unqueued_share: self.needs.unqueued_share(),
            retry_after: self.retry_after(now, delay, time_left, jitter),
        })
    }

    /// Begins or ends the limit on new programs by the present pressure. A host that has just lost sight
    /// of the delays goes on as before for some time.
    fn update_limit(&mut self, now: Instant, pressure: Option<f64>) {
        let Some(limited_at) = self.limited_at else {
            self.limited_at = pressure.filter(|pressure| *pressure > PRESSURE_LIMITED).map(|_| now);
            return;
        };
        let low_for = now.saturating_duration_since(limited_at);
        match pressure {
            Some(pressure) if pressure > PRESSURE_LOW => self.limited_at = Some(now),
            Some(_) if low_for >= LIMIT_TIME => self.limited_at = None,
            None if low_for >= LIMIT_TIME_UNKNOWN => self.limited_at = None,
            _ => {}
        }
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        let is_past = |at: Option<Instant>, interval| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
        };
        is_past(self.began_at, PROBE_INTERVAL_ANSWERED)
            || is_past(self.began_at.max(self.answered_at), PROBE_INTERVAL)
    }

    /// Returns whether a program would end in time at [`PRESSURE_IN_TIME`], as seen by one at its first
    /// try. Of two programs that compete for a credit, one that was refused before and has lost much of
    /// its time is the less likely to end in time.
    fn ends_in_time(&self, target: Option<Duration>, time_left: Option<Duration>) -> bool {
        let (Some(target), Some(time_left)) = (target, time_left) else { return true };
        let Some(unqueued_share) = self.needs.unqueued_share() else { return true };
        let tolerated = tolerated_s(target, target, unqueued_share);
        tolerated_s(target, time_left, unqueued_share) >= PRESSURE_IN_TIME * tolerated
    }

    fn has_credit(&self, priority: u8) -> bool {
        self.has_shared_credit(priority) || self.reserved_for(priority) >= 1.0
    }

    fn has_shared_credit(&self, priority: u8) -> bool {
        let steps = usize::from(priority).min(LESS_URGENT) as f64;
        self.credits >= 1.0 + PRIORITY_STEP * steps
    }

    fn reserved_for(&self, priority: u8) -> f64 {
        reserve_index(priority).map_or(0.0, |index| self.reserved[index])
    }

    /// Takes the credit of a program that begins. One that needs none still uses what was saved, so that
    /// little is left when the limit begins.
    fn take_credit(&mut self, priority: u8) {
        let reserved = reserve_index(priority).filter(|index| self.reserved[*index] >= 1.0);
        match reserved.filter(|_| !self.has_shared_credit(priority)) {
            Some(index) => self.reserved[index] -= 1.0,
            None => self.credits = (self.credits - 1.0).max(0.0),
        }
    }

    fn record_refused(&mut self, now: Instant, id: NameHash, target: Option<Duration>) {
        self.refusals.add(now, 1.0);
        if self.refused.len() >= REFUSED_MAX {
            self.refused.retain(|_, refused| refused.is_recent(now));
        }
        if self.refused.len() < REFUSED_MAX {
            let refused = RefusedProgram { target, refused_at: now };
            self.refused.entry(id).or_insert(refused);
        }
    }

    /// Returns the time that a program would spend in queues, as a fraction of what its target leaves
    /// for that. `target` is the time that it had at its first try; a program that names no target counts
    /// as a mean one.
    fn pressure(
        &self,
        queues: &Queues,
        target: Option<Duration>,
        time_left: Option<Duration>,
    ) -> f64 {
        let known = self.needs.unqueued_share().zip(self.needs.mean_target());
        let Some((unqueued_share, mean_target)) = known else {
            return queues.delay.as_secs_f64() / DEFAULT_DELAY_MAX.as_secs_f64();
        };
        let target = target.unwrap_or(mean_target);
        let time_left = time_left.unwrap_or(target);
        let queued_s = queues.total.as_secs_f64() * target.div_duration_f64(mean_target);
        queued_s / tolerated_s(target, time_left, unqueued_share).max(f64::MIN_POSITIVE)
    }

    fn queues(&self, delay_of: impl Fn(&ServiceId) -> Option<Duration>) -> Option<Queues> {
        let mut total_s = 0.0;
        let mut longest: Option<(f64, &ServiceId, Duration)> = None;
        for (service, requests) in self.needs.requests_by_service() {
            let Some(delay) = delay_of(service) else { continue };
            let queued_s = requests * delay.as_secs_f64();
            total_s += queued_s;
            if longest.is_none_or(|(longest_s, ..)| queued_s.total_cmp(&longest_s).is_gt()) {
                longest = Some((queued_s, service, delay));
            }
        }
        let (_, service, delay) = longest?;
        let total = Duration::try_from_secs_f64(total_s).unwrap_or(Duration::MAX);
        Some(Queues { service: service.clone(), delay, total })
    }

    /// Returns when a refused program may try again: after the queue ahead of it, and once credits for
    /// the programs that were refused lately are earned.
    fn retry_after(
        &self,
        now: Instant,
        delay: Duration,
        time_left: Option<Duration>,
        jitter: f64,
    ) -> Duration {
        let credits_s = self.refusals.per_s(now) / self.earned.per_s(now).max(f64::MIN_POSITIVE);
        let max = time_left
            .map_or(RETRY_AFTER_MAX, |left| left.mul_f64(RETRY_AFTER_FRACTION_MAX))
            .min(RETRY_AFTER_MAX);
        let credits = Duration::try_from_secs_f64(credits_s).unwrap_or(RETRY_AFTER_MAX);
        // A caller that has hardly any time left must not come again at once either.
        let max = max.max(RETRY_AFTER_MIN / 2);
        let ahead = (delay.saturating_add(credits)).max(RETRY_AFTER_MIN).min(max);
        // Half of the time spreads the callers.
        ahead.mul_f64(0.5 + 0.5 * jitter)
    }
}

impl RefusedProgram {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.refused_at) < REFUSED_TTL
    }
}

/// Returns the number of programs that may begin for each that ends.
fn credit_rate(pressure: f64) -> f64 {
    if pressure < PRESSURE_LOW {
        return RATE_LOW_PRESSURE;
    }
    (1.0 + RATE_PER_PRESSURE * (PRESSURE_TARGET - pressure)).max(RATE_MIN)
}

/// Returns the time in queues that a program tolerates.
fn tolerated_s(target: Duration, time_left: Duration, unqueued_share: f64) -> f64 {
    let unqueued_s = unqueued_share * target.as_secs_f64();
    (time_left.as_secs_f64() - unqueued_s).max(TOLERANCE_MIN * unqueued_s)
}

/// Returns which reserve a priority may use; the most urgent one has none.
fn reserve_index(priority: u8) -> Option<usize> {
    usize::from(priority).min(LESS_URGENT).checked_sub(1)
}

#[cfg(test)]
mod tests;
