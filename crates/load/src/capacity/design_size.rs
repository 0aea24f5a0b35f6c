//! The size to design for, and the limits of one node and of the store.

/// Hosts of the system.
pub const HOSTS: f64 = 350.0;
/// Workers that serve models, each one upstream of one pool.
pub const WORKERS: f64 = 600.0;
/// Requests a second at the peak, all counted as turns.
pub const REQUESTS_PER_S: f64 = 3_900.0;
/// Tokens generated a second at the peak.
pub const TOKENS_PER_S: f64 = 870_000.0;
/// Programs under way.
pub const PROGRAMS: f64 = 49_000.0;
/// Turns of a long program.
pub const TURNS: usize = 200;
/// Tokens in the history of a long program.
pub const HISTORY_TOKENS: usize = 230_000;
/// Teams in steady use.
pub const TEAMS: usize = 32_000;
/// Models in steady use, each with a pool of its own.
pub const MODELS: usize = 33;
/// Failure domains.
pub const DOMAINS: usize = 11;
/// Changes of configuration a second: 1,700 a day.
pub const CHANGES_PER_S: f64 = 1_700.0 / 86_400.0;
/// Hosts that are restarted or replaced a second: 260 a day.
pub const RESTARTS_PER_S: f64 = 260.0 / 86_400.0;
/// Hosts that fail a second: 6 a day.
pub const FAILURES_PER_S: f64 = 6.0 / 86_400.0;
/// Time within which a change must be in force everywhere, in seconds.
pub const IN_FORCE_S: f64 = 11.0;
/// Time between tokens for 95 in 100, in milliseconds.
pub const BETWEEN_TOKENS_MS: f64 = 40.0;

/// What a node may spend on control: share of a core.
pub const CPU_SHARE_MAX: f64 = 0.02;
/// What a node may spend on control: memory in bytes.
pub const MEMORY_BYTES_MAX: f64 = 64e6;
/// What a node may spend on control: bytes a second.
pub const BYTES_PER_S_MAX: f64 = 3e3;
/// Writes a second that the store takes; "several hundred".
pub const STORE_WRITES_PER_S: f64 = 500.0;
/// Reads a second that the store takes.
pub const STORE_READS_PER_S: f64 = 2_000.0;

/// Requests a second of one host.
pub const REQUESTS_PER_HOST: f64 = REQUESTS_PER_S / HOSTS;
/// Requests a second of one pool.
pub const REQUESTS_PER_POOL: f64 = REQUESTS_PER_S / MODELS as f64;
/// Upstreams of one pool.
pub const WORKERS_PER_POOL: f64 = WORKERS / MODELS as f64;
/// Hosts of one failure domain.
pub const HOSTS_PER_DOMAIN: f64 = HOSTS / DOMAINS as f64;
/// Programs of one host.
pub const PROGRAMS_PER_HOST: f64 = PROGRAMS / HOSTS;
/// Programs of one pool.
pub const PROGRAMS_PER_POOL: f64 = PROGRAMS / MODELS as f64;
/// Halves of teams' allowances that one host holds.
pub const HALVES_PER_HOST: f64 = 2.0 * TEAMS as f64 / HOSTS;
/// Tokens a second that one host passes on.
pub const TOKENS_PER_HOST: f64 = TOKENS_PER_S / HOSTS;
/// Bytes of text that one turn adds to a history: 4 bytes a token, the answer included.
pub const TURN_BYTES: usize = HISTORY_TOKENS * 4 / TURNS;
/// Tokens that one request generates.
pub const TOKENS_PER_REQUEST: f64 = TOKENS_PER_S / REQUESTS_PER_S;
