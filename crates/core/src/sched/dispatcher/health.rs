//! Upstreams that come, go, fail and return, and what answers teach about them.

use {
    super::{Dispatcher, LEAK_MARGIN, Slot},
    crate::{
        event::Kind,
        ids::UpstreamId,
        message::Usage,
        sched::{
            Note, Outcome, SlotRelease, Ticket, UpstreamView,
            fair::cost_tokens,
            upstream::{Failure, Upstream, UpstreamKey},
        },
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Prefills shorter than this say little about the rate.
const MIN_PREFILL_TOKENS: u64 = 512;
/// Weight of one answer in the smoothed prefill rate.
const PREFILL_WEIGHT: f64 = 0.05;

impl Dispatcher {
    /// Adds an upstream or takes its new state.
    pub(super) fn see_upstream(&mut self, view: UpstreamView) {
        let Some(&key) = self.by_id.get(&view.upstream) else {
            let id = view.upstream.clone();
            let key = self.upstreams.insert(Upstream::new(view, self.options.limit));
            self.by_id.insert(id.clone(), key);
            self.change(key, |_| ());
            // A new entry counts from here on: `change` took its shares as there before.
            let (occupied, slots) = self.upstreams[key].shares();
            self.occupied += occupied;
            self.available_slots += slots;
            self.note(Note::new(Kind::UpstreamSeen).at(&id));
            return;
        };
        let begins_leaving = view.is_leaving && !self.upstreams[key].view.is_leaving;
        if begins_leaving {
            self.note(Note::new(Kind::UpstreamLeaving).at(&view.upstream));
        }
        let entry = (self.upstreams[key].load, key);
        let former = self.upstreams[key].view.domain.clone();
        if former != view.domain
            && let Some(by_load) = self.index.get_mut(&former)
        {
            by_load.remove(&entry);
        }
        self.change(key, |upstream| {
            upstream.view = view;
            upstream.is_listed = true;
        });
    }

    /// Marks the upstreams that are listed no more. They are forgotten when their last calls end.
    pub(super) fn unlist_all_but(&mut self, listed: &BTreeSet<UpstreamId>) {
        let is_gone =
            |upstream: &Upstream| upstream.is_listed && !listed.contains(&upstream.view.upstream);
        let gone = self.upstreams.iter().filter(|(_, upstream)| is_gone(upstream));
        let gone: Vec<UpstreamKey> = gone.map(|(key, _)| key).collect();
        for key in gone {
            let id = self.upstreams[key].view.upstream.clone();
            self.note(Note::new(Kind::UpstreamLost).at(&id));
            self.change(key, |upstream| upstream.is_listed = false);
            self.forget_memory(key);
        }
    }

    /// Moves all that waits for upstreams that are leaving or gone.
    pub(super) fn empty_unusable(&mut self, now: Instant) {
        let is_out = |upstream: &Upstream| !upstream.is_listed || upstream.view.is_leaving;
        let out = self.upstreams.iter().filter(|(_, upstream)| is_out(upstream));
        let out: Vec<UpstreamKey> = out.map(|(key, _)| key).collect();
        for key in out {
            self.change(key, |upstream| upstream.reserved_for = None);
            self.evacuate(now, key);
            self.forget_if_unused(key);
        }
    }

    /// Ends ejections whose time is over.
    pub(super) fn return_upstreams(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.ejected.first() {
            if until > now {
                return;
            }
            self.change(key, |upstream| upstream.ejected_until = None);
        }
    }

    /// Gives a slot back and learns from how the call went.
    pub(super) fn take_back(&mut self, now: Instant, release: SlotRelease) {
        let Some(slot) = self.vacate(release.ticket) else {
            return;
        };
        let key = slot.upstream;
        self.programs.touch(now, &slot.request.program).paused_at = Some(now);
        match release.outcome {
            Outcome::Done { first_byte, total, usage } => {
                self.learn_done(now, &slot, first_byte, total, usage.as_ref());
            }
            Outcome::Broken => self.learn_broken(now, &slot),
            Outcome::Unreachable => {
                self.retries.failed(now, &slot.request.request);
                self.fail(now, key, Failure::Hard);
            }
            Outcome::Refused | Outcome::TimedOut => {
                self.retries.failed(now, &slot.request.request);
                self.fail(now, key, Failure::Soft);
            }
            Outcome::Unused => self.correct_charge(now, &slot, 0),
        }
        self.forget_if_unused(key);
        self.pump_suspected(now);
        self.pump(now, key);
    }

    /// Frees slots whose call must have ended long ago.
    pub(super) fn free_leaked(&mut self, now: Instant) {
        let longest = self.deadline + LEAK_MARGIN;
        let is_leaked = |slot: &Slot| now.duration_since(slot.granted) > longest;
        let leaked = self.slots.iter().filter(|(_, slot)| is_leaked(slot));
        let mut leaked: Vec<Ticket> = leaked.map(|(&ticket, _)| ticket).collect();
        leaked.sort_unstable();
        for ticket in leaked {
            self.vacate(ticket);
        }
    }

    /// Takes what runs and waits into the smoothed pressure.
    pub(super) fn observe_pressure(&mut self, now: Instant) {
        let unplaced = self.parked.len() + self.suspected.len();
        let occupied = self.occupied as f64 + unplaced as f64;
        self.shedding.observe(now, occupied, self.available_slots as f64);
    }

    fn learn_done(
        &mut self,
        now: Instant,
        slot: &Slot,
        first_byte: Duration,
        total: Duration,
        usage: Option<&Usage>,
    ) {
        self.suspects.clear(slot.request.fingerprint);
        let generated = usage.map_or(0, |usage| usage.completion_tokens);
        self.estimates.saw_service(&slot.request.class, total, generated);
        self.change(slot.upstream, |upstream| {
            let in_flight = upstream.in_flight + 1;
            upstream.limit.on_done(now, in_flight, first_byte, total, usage);
            upstream.on_answer(total);
        });
        let prefilled =
            usage.map_or(0, |usage| usage.prompt_tokens.saturating_sub(usage.cached_tokens));
        self.correct_charge(now, slot, cost_tokens(prefilled, generated));
        if let Some(usage) = usage {
            self.learn_usage(slot, first_byte, prefilled, usage);
        }
    }

    fn learn_usage(&mut self, slot: &Slot, first_byte: Duration, prefilled: u64, usage: &Usage) {
        self.counts.prefilled_tokens += prefilled;
        self.counts.cached_tokens += usage.cached_tokens;
        if prefilled >= MIN_PREFILL_TOKENS && !first_byte.is_zero() {
            let rate = prefilled as f64 / first_byte.as_secs_f64();
            self.prefill_tokens_per_s += PREFILL_WEIGHT * (rate - self.prefill_tokens_per_s);
        }
        let held = usage.prompt_tokens + usage.completion_tokens;
        self.hold(slot.upstream, &slot.request.program, held);
    }

    /// An upstream broke: all that ran there is suspected; what ran there alone is guilty.
    fn learn_broken(&mut self, now: Instant, slot: &Slot) {
        self.retries.failed(now, &slot.request.request);
        if slot.is_alone {
            self.suspects.quarantine(now, slot.request.fingerprint);
            self.note(Note::new(Kind::Quarantined).about(&slot.request));
        } else {
            self.suspects.suspect(now, slot.request.fingerprint);
        }
        if slot.is_struck {
            // The break was counted with the first call that reported it.
            return;
        }
        let neighbours = self.upstreams[slot.upstream].tickets.clone();
        for ticket in neighbours {
            if let Some(neighbour) = self.slots.get_mut(&ticket) {
                neighbour.is_struck = true;
                self.suspects.suspect(now, neighbour.request.fingerprint);
            }
        }
        self.fail(now, slot.upstream, Failure::Hard);
    }

    fn fail(&mut self, now: Instant, key: UpstreamKey, failure: Failure) {
        let jitter = self.draw();
        let mut is_ejected = false;
        self.change(key, |upstream| is_ejected = upstream.on_failure(now, failure, jitter));
        if !is_ejected {
            return;
        }
        let id = self.upstreams[key].view.upstream.clone();
        self.note(Note::new(Kind::UpstreamEjected).at(&id));
        self.change(key, |upstream| upstream.reserved_for = None);
        if failure == Failure::Hard {
            self.forget_memory(key);
        }
        self.evacuate(now, key);
    }

    fn correct_charge(&mut self, now: Instant, slot: &Slot, cost_tokens: u64) {
        let correction = cost_tokens as i64 - slot.charged_tokens as i64;
        self.teams.charge(self.now_s(now), slot.team, correction);
        self.programs.touch(now, &slot.request.program).attained_tokens += cost_tokens;
    }

    fn forget_if_unused(&mut self, key: UpstreamKey) {
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
