//! The size that the system is designed for, and the limits of one node and of the store.

/// Hosts at the design size, over all failure domains.
pub const HOSTS: f64 = 350.0;
/// Number of workers that serve models. Each is one upstream of one pool.
pub const WORKERS: f64 = 600.0;
/// Peak requests per second, each treated as a turn.
pub const REQUESTS_PER_S: f64 = 3_900.0;
/// Peak generated tokens per second.
pub const TOKENS_PER_S: f64 = 870_000.0;
/// Active programs.
pub const PROGRAMS: f64 = 49_000.0;
/// Turns of a long program.
pub const TURNS: usize = 200;
/// Tokens in the history of a long program.
pub const HISTORY_TOKENS: usize = 230_000;
/// Active teams.
pub const TEAMS: usize = 32_000;
/// Active models, each with its own pool.
pub const MODELS: usize = 33;
/// Number of failure domains.
pub const DOMAINS: usize = 11;
/// Configuration changes per second, from 1,700 a day.
pub const CHANGES_PER_S: f64 = 1_700.0 / 86_400.0;
/// Hosts restarted or replaced per second, from 260 a day.
pub const RESTARTS_PER_S: f64 = 260.0 / 86_400.0;
/// Host failures per second, from 6 a day.
pub const FAILURES_PER_S: f64 = 6.0 / 86_400.0;
/// Maximum time until a configuration change is in force everywhere, in seconds.
pub const MAX_CONFIG_DELAY_S: f64 = 11.0;
/// Required 95th percentile of the time between tokens, in milliseconds.
pub const MAX_TIME_BETWEEN_TOKENS_P95_MS: f64 = 40.0;

/// Limit of a node's processor use, excluding callers' content, as a fraction of a core.
pub const CPU_SHARE_MAX: f64 = 0.02;
/// Limit of a node's memory, excluding callers' content, in bytes.
pub const MEMORY_BYTES_MAX: f64 = 64e6;
/// Limit of a node's traffic, excluding callers' content, in bytes per second.
pub const BYTES_PER_S_MAX: f64 = 3e3;
/// Writes per second that the store can handle; specified as "several hundred".
pub const STORE_WRITES_PER_S: f64 = 500.0;
/// Reads per second that the store can handle.
pub const STORE_READS_PER_S: f64 = 2_000.0;

/// Requests per second at one host.
pub const REQUESTS_PER_S_PER_HOST: f64 = REQUESTS_PER_S / HOSTS;
/// Requests per second at one pool.
pub const REQUESTS_PER_S_PER_POOL: f64 = REQUESTS_PER_S / MODELS as f64;
/// Upstreams per pool.
pub const WORKERS_PER_POOL: f64 = WORKERS / MODELS as f64;
/// Hosts per failure domain.
pub const HOSTS_PER_DOMAIN: f64 = HOSTS / DOMAINS as f64;
/// Active programs per host.
pub const PROGRAMS_PER_HOST: f64 = PROGRAMS / HOSTS;
/// Active programs per pool.
pub const PROGRAMS_PER_POOL: f64 = PROGRAMS / MODELS as f64;
/// Number of half allowances per host: each team's allowance is split in two.
pub const HALVES_PER_HOST: f64 = 2.0 * TEAMS as f64 / HOSTS;
/// Tokens per second that one host relays.
pub const TOKENS_PER_S_PER_HOST: f64 = TOKENS_PER_S / HOSTS;
/// Bytes of text that one turn adds to a history, including the output, at 4 bytes per token.
pub const TURN_BYTES: usize = HISTORY_TOKENS * 4 / TURNS;
/// Tokens generated per request.
pub const TOKENS_PER_REQUEST: f64 = TOKENS_PER_S / REQUESTS_PER_S;
