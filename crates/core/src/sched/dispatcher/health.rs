//! Upstream lifecycle: addition, removal, ejection, recovery and call outcomes.

use {
    super::{Dispatcher, LEAK_MARGIN, Slot},
    crate::{
        crashes::{CrashedAttempt, UpstreamCrash},
        event::Kind,
        ids::UpstreamId,
        message::Usage,
        sched::{
            LogEvent, Outcome, SlotRelease, Ticket, UpstreamView,
            fair::cost_tokens,
            upstream::{Failure, Upstream, UpstreamKey},
        },
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Shorter prefills are too noisy to measure the prefill rate.
const MIN_PREFILL_TOKENS: u64 = 512;
/// Weight of one response in the smoothed prefill rate.
const PREFILL_WEIGHT: f64 = 0.05;

impl Dispatcher {
    /// Adds an upstream or updates its state.
    pub(super) fn update_upstream(&mut self, view: UpstreamView) {
        let Some(&key) = self.by_id.get(&view.upstream) else {
            let id = view.upstream.clone();
            let key = self.upstreams.insert(Upstream::new(view, self.options.limit));
            self.by_id.insert(id.clone(), key);
            self.modify_upstream(key, |_| ());
            // `modify_upstream` adds only differences to the totals, so the initial values of a new
            // upstream are added here.
            let (calls, slots) = self.upstreams[key].calls_and_slots();
            self.calls_at_accepting += calls;
            self.total_slots += slots;
            self.log(LogEvent::new(Kind::UpstreamSeen).with_upstream(&id));
            return;
        };
        let begins_leaving = view.is_leaving && !self.upstreams[key].view.is_leaving;
        if begins_leaving {
            self.log(LogEvent::new(Kind::UpstreamLeaving).with_upstream(&view.upstream));
        }
        let entry = (self.upstreams[key].indexed_load, key);
        let previous_domain = self.upstreams[key].view.domain.clone();
        if previous_domain != view.domain
            && let Some(by_load) = self.accepting_by_load.get_mut(&previous_domain)
        {
            by_load.remove(&entry);
        }
        self.modify_upstream(key, |upstream| {
            upstream.view = view;
            upstream.is_listed = true;
        });
    }

    /// Marks upstreams that are no longer listed. Each is removed when its last call ends.
    pub(super) fn mark_unlisted(&mut self, listed: &BTreeSet<UpstreamId>) {
        let is_removed =
            |upstream: &Upstream| upstream.is_listed && !listed.contains(&upstream.view.upstream);
        let removed = self.upstreams.iter().filter(|(_, upstream)| is_removed(upstream));
        let removed: Vec<UpstreamKey> = removed.map(|(key, _)| key).collect();
        for key in removed {
            let id = self.upstreams[key].view.upstream.clone();
            self.log(LogEvent::new(Kind::UpstreamLost).with_upstream(&id));
            self.modify_upstream(key, |upstream| upstream.is_listed = false);
            self.clear_prefixes(key);
        }
    }

    /// Requeues all requests that wait for upstreams that are leaving or no longer listed.
    pub(super) fn requeue_from_removed_or_draining(&mut self, now: Instant) {
        let is_removed_or_draining =
            |upstream: &Upstream| !upstream.is_listed || upstream.view.is_leaving;
        let removed_or_draining =
            self.upstreams.iter().filter(|(_, upstream)| is_removed_or_draining(upstream));
        let removed_or_draining: Vec<UpstreamKey> =
            removed_or_draining.map(|(key, _)| key).collect();
        for key in removed_or_draining {
            self.modify_upstream(key, |upstream| upstream.reserved_for = None);
            self.requeue_elsewhere(now, key);
            self.remove_if_unused(key);
        }
    }

    /// Ends the ejections that have expired.
    pub(super) fn end_ejections(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.ejected.first() {
            if until > now {
                return;
            }
            self.modify_upstream(key, |upstream| upstream.ejected_until = None);
        }
    }

    /// Removes the slot of an ended call and applies the outcome of the call.
    pub(super) fn handle_release(&mut self, now: Instant, release: SlotRelease) {
        let Some(slot) = self.remove_slot(release.ticket) else {
            return;
        };
        let key = slot.upstream;
        self.programs.touch(now, &slot.request.program).paused_at = Some(now);
        match release.outcome {
            Outcome::Done { first_byte, total, usage } => {
                self.on_call_done(now, &slot, first_byte, total, usage.as_ref());
            }
            Outcome::Broken => self.on_call_broken(now, &slot),
            Outcome::Unreachable => {
                self.retries.record_failure(now, &slot.request.request);
                self.fail_upstream(now, key, Failure::Hard);
            }
            Outcome::Refused | Outcome::TimedOut => {
                self.retries.record_failure(now, &slot.request.request);
                self.fail_upstream(now, key, Failure::Soft);
            }
            Outcome::Unused => self.apply_actual_cost(now, &slot, 0),
        }
        self.remove_if_unused(key);
        self.grant_to_suspected(now);
        self.grant_slots_at(now, key);
    }

    /// Frees slots whose call must have ended long ago.
    pub(super) fn free_leaked(&mut self, now: Instant) {
        let max_age = self.deadline + LEAK_MARGIN;
        let is_leaked = |slot: &Slot| now.duration_since(slot.granted) > max_age;
        let leaked = self.slots.iter().filter(|(_, slot)| is_leaked(slot));
        let mut leaked: Vec<Ticket> = leaked.map(|(&ticket, _)| ticket).collect();
        leaked.sort_unstable();
        for ticket in leaked {
            self.remove_slot(ticket);
        }
    }

    /// Updates the smoothed pressure with the current load.
    pub(super) fn observe_pressure(&mut self, now: Instant) {
        let without_upstream = self.parked.len() + self.suspected.len();
        let calls = self.calls_at_accepting as f64 + without_upstream as f64;
        self.shedding.observe(now, calls, self.total_slots as f64);
    }

    fn on_call_done(
        &mut self,
        now: Instant,
        slot: &Slot,
        first_byte: Duration,
        total: Duration,
        usage: Option<&Usage>,
    ) {
        self.suspects.clear(slot.request.fingerprint);
        let completion_tokens = usage.map_or(0, |usage| usage.completion_tokens);
        self.estimates.record_service(&slot.request.class, total, completion_tokens);
        self.modify_upstream(slot.upstream, |upstream| {
            let in_flight = upstream.in_flight + 1;
            upstream.limit.on_done(now, in_flight, first_byte, total, usage);
            upstream.on_response(total);
        });
        let prefilled_tokens =
            usage.map_or(0, |usage| usage.prompt_tokens.saturating_sub(usage.cached_tokens));
        self.apply_actual_cost(now, slot, cost_tokens(prefilled_tokens, completion_tokens));
        if let Some(usage) = usage {
            self.record_usage(slot, first_byte, prefilled_tokens, usage);
        }
    }

    fn record_usage(
        &mut self,
        slot: &Slot,
        first_byte: Duration,
        prefilled_tokens: u64,
        usage: &Usage,
    ) {
        self.counts.prefilled_tokens += prefilled_tokens;
        self.counts.cached_tokens += usage.cached_tokens;
        if prefilled_tokens >= MIN_PREFILL_TOKENS && !first_byte.is_zero() {
            let rate = prefilled_tokens as f64 / first_byte.as_secs_f64();
            self.prefill_tokens_per_s += PREFILL_WEIGHT * (rate - self.prefill_tokens_per_s);
        }
        let cached_tokens = usage.prompt_tokens + usage.completion_tokens;
        self.set_cached_tokens(slot.upstream, &slot.request.program, cached_tokens);
    }

    /// Handles a call whose upstream ended. Every request that ran at the upstream becomes
    /// suspected, unless the upstream was to end. A request that ran there alone may be quarantined.
    fn on_call_broken(&mut self, now: Instant, slot: &Slot) {
        self.retries.record_failure(now, &slot.request.request);
        if slot.is_crash_counted {
            // The crash was already counted when the first of the affected calls was released.
            return;
        }
        let upstream = &self.upstreams[slot.upstream];
        if upstream.is_listed && !upstream.view.is_leaving {
            self.record_crash(now, slot);
        }
        self.fail_upstream(now, slot.upstream, Failure::Hard);
    }

    fn record_crash(&mut self, now: Instant, slot: &Slot) {
        let attempt = |slot: &Slot| CrashedAttempt {
            content: slot.request.fingerprint,
            sent_at: slot.granted,
            broke_at: now,
        };
        let mut attempts = vec![attempt(slot)];
        for ticket in self.upstreams[slot.upstream].tickets.clone() {
            if let Some(other) = self.slots.get_mut(&ticket) {
                other.is_crash_counted = true;
                attempts.push(attempt(other));
            }
        }
        let listed = self.upstreams.values().filter(|upstream| upstream.is_listed);
        let crash = UpstreamCrash {
            service: slot.request.service.clone(),
            upstream: self.upstreams[slot.upstream].view.upstream.clone(),
            upstream_count: listed.count(),
            attempts,
        };
        if self.suspects.record_crash(now, &crash, slot.is_alone) {
            self.log(LogEvent::new(Kind::Quarantined).with_request(&slot.request));
        }
    }

    fn fail_upstream(&mut self, now: Instant, key: UpstreamKey, failure: Failure) {
        let jitter = self.random_fraction();
        let mut is_ejected = false;
        self.modify_upstream(key, |upstream| {
            is_ejected = upstream.on_failure(now, failure, jitter)
        });
        if !is_ejected {
            return;
        }
        let id = self.upstreams[key].view.upstream.clone();
        self.log(LogEvent::new(Kind::UpstreamEjected).with_upstream(&id));
        self.modify_upstream(key, |upstream| upstream.reserved_for = None);
        if failure == Failure::Hard {
            self.clear_prefixes(key);
        }
        self.requeue_elsewhere(now, key);
    }

    fn apply_actual_cost(&mut self, now: Instant, slot: &Slot, actual_tokens: u64) {
        let correction = actual_tokens as i64 - slot.charged_tokens as i64;
        self.teams.charge(self.now_s(now), slot.team, correction);
        self.programs.touch(now, &slot.request.program).attained_tokens += actual_tokens;
    }

    fn remove_if_unused(&mut self, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get(key) else {
            return;
        };
        if !upstream.is_listed && upstream.in_flight == 0 {
            self.by_id.remove(&upstream.view.upstream);
            self.ejected.retain(|&(_, ejected)| ejected != key);
            self.upstreams.remove(key);
        }
    }
}
