//! The halves of teams' allowances that this host holds.

use {
    crate::control::{
        Control, Reply,
        home::{Home, not_home, send_reply},
    },
    std::time::{Duration, Instant},
    trefoilring_core::{
        ids::TeamId,
        limit::{Allowance, Limiter, PreferredHalves, Taken},
        membership::{RoleKey, Standing},
        verdict::Refusal,
    },
    trefoilring_proto::TakeTokens,
};

/// Interval for removing full token buckets, which are idle.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);
/// The token buckets, and for each team the half that served it last.
pub(super) struct Allowances {
    limiter: Limiter,
    preferred_halves: PreferredHalves,
    next_sweep: Instant,
}

impl Allowances {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            limiter: Limiter::default(),
            preferred_halves: PreferredHalves::default(),
            next_sweep: now,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.limiter.len()
    }

    pub(super) fn sweep(&mut self, now: Instant) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.limiter.sweep(now);
        }
    }
}

impl Control {
    /// Takes tokens from a half that this host holds.
    pub(crate) fn take_tokens(&mut self, take: &TakeTokens) -> Taken {
        let now = Instant::now();
        let Some(allowance) = self.allowance(&take.team, take.half) else { return Taken::NotHere };
        let standing = self.standing(&take.team, take.half, now);
        let half = (&take.team, take.half);
        self.allowances.limiter.take(now, half, (take.count, take.wait_max), allowance, &standing)
    }

    /// Finds the host that holds a half of a team's allowance.
    pub(crate) fn find_limiter(&self, team: &TeamId, half: u8) -> Result<Home, Refusal> {
        let Some(entry) = self.membership.limiter_of(team, half) else { return Err(not_home()) };
        if entry.member == self.shared.member {
            return Ok(Home::Local);
        }
        let address = entry.address.parse().map_err(|_| not_home())?;
        Ok(Home::Remote(address))
    }

    /// Starts a request for tokens, which tries the preferred half first.
    pub(crate) fn begin_take(
        &mut self,
        team: &TeamId,
        wait_max: Duration,
        reply: &Reply<trefoilring_core::limit::TokenRequest>,
    ) {
        // 1 if this host holds half 1, else 0.
        let local_half = u8::from(self.find_limiter(team, 1) == Ok(Home::Local));
        let catalog = self.shared.catalog();
        let halves = catalog.teams.get(team).map_or(1, |team| Allowance::from(team).half_count());
        let preferred = &self.allowances.preferred_halves;
        send_reply(
            reply,
            preferred.start_request(Instant::now(), team, local_half, halves, 1, wait_max),
        );
    }

    /// Records which half served a team.
    pub(crate) fn end_take(
        &mut self,
        team: &TeamId,
        attempt: &trefoilring_core::limit::TokenRequest,
    ) {
        self.allowances.preferred_halves.record_outcome(team, attempt);
    }

    fn allowance(&self, team: &TeamId, half: u8) -> Option<Allowance> {
        let catalog = self.shared.catalog();
        let team = catalog.teams.get(team)?;
        Some(Allowance::from(team).half(half))
    }

    /// Returns the standing of this host in the limiter role for a half of a team's allowance.
    fn standing(&self, team: &TeamId, half: u8, now: Instant) -> Standing {
        self.membership.standing(&RoleKey::limiter(team, half), now)
    }
}
