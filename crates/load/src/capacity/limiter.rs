//! Cost of the limiter role.

use {
    super::{
        CapacityError, design_size,
        figure::{Figures, memory_per_item},
        wire,
    },
    error_stack::Report,
    std::time::{Duration, Instant},
    trefoilring_core::{
        ids::TeamId,
        limit::{Allowance, Limiter, MAX_DEFERRAL, Taken},
        membership::Standing,
    },
    trefoilring_proto::{PeerRequest, PeerResponse, TakeTokens},
};

/// Number of buckets in the memory measurement.
const BUCKETS: usize = 200_000;
/// Allowance that is large enough for every request of the measurement to be granted.
const ALLOWANCE: Allowance =
    Allowance { rate_nanotokens_per_s: 50_000_000_000, burst_tokens: 1_000_000 };

/// Measures the memory of one bucket, without the team's name.
pub fn memory() -> Result<f64, Report<CapacityError>> {
    let (now, standing) = acting_standing();
    let teams: Vec<TeamId> = (0..BUCKETS).map(team_id).collect();
    memory_per_item(BUCKETS, || filled_limiter(now, &teams, &standing))
}

/// Returns the current time and the standing of a host that has held its roles for 100 s.
fn acting_standing() -> (Instant, Standing) {
    let start = Instant::now();
    let standing = Standing::Acting { since: start, ranked_first_since: start, former: None };
    (start + Duration::from_secs(100), standing)
}

fn filled_limiter(
    now: Instant,
    teams: &[TeamId],
    standing: &Standing,
) -> Result<Limiter, Report<CapacityError>> {
    let mut limiter = Limiter::default();
    for team in teams {
        take_token(&mut limiter, now, team, standing)?;
    }
    Ok(limiter)
}

/// Measures the operations and messages of a limiter.
pub fn measure(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let (mut now, standing) = acting_standing();
    let teams: Vec<TeamId> = (0..BUCKETS).map(team_id).collect();
    let mut limiter = filled_limiter(now, &teams, &standing)?;
    let halves = design_size::HALVES_PER_HOST as usize;
    let host_teams = &teams[..halves];
    figures.measure_cpu_time("limiter.take", "take a token from a bucket", || {
        now += Duration::from_secs(1);
        for team in host_teams {
            take_token(&mut limiter, now, team, &standing)?;
        }
        Ok(halves as u64)
    })?;
    figures.measure_cpu_time("limiter.sweep", "sweep of the buckets, per bucket", || {
        limiter.sweep(now);
        // No bucket is full, so the sweep removes none.
        Ok(limiter.len() as u64)
    })?;
    measure_messages(figures)
}

fn take_token(
    limiter: &mut Limiter,
    now: Instant,
    team: &TeamId,
    standing: &Standing,
) -> Result<(), Report<CapacityError>> {
    match limiter.take(now, (team, 0), (1, Duration::ZERO), ALLOWANCE, standing) {
        Taken::Granted(_) => Ok(()),
        other => Err(Report::new(CapacityError).attach(format!("take: {other:?}"))),
    }
}

fn measure_messages(figures: &mut Figures) -> Result<(), Report<CapacityError>> {
    let take = TakeTokens { team: team_id(0), half: 0, count: 1, wait_max: MAX_DEFERRAL };
    let bytes = wire::request_bytes(PeerRequest::TakeTokens { take })?
        + wire::response_bytes(PeerResponse::TakeTokens(Taken::Granted(MAX_DEFERRAL)))?;
    figures.add_constant("limiter.take.bytes", "B", "request for a token and its response", bytes);
    Ok(())
}

/// Returns the id of a team.
pub fn team_id(number: usize) -> TeamId {
    format!("team-{number:05}").into()
}
