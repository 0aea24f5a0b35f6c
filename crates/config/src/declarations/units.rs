//! Parses and formats single values: durations with a unit, integers, routes.

use {toml::de::DeValue, trefoilring_core::catalog::RoutePattern};

/// Units of durations and their length in milliseconds, in descending order.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1000), ("ms", 1)];
/// Methods of route patterns; `*` matches any method.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"];

/// Parses a duration such as `90s` and returns milliseconds.
pub(super) fn parse_duration_ms(value: &DeValue<'_>) -> Option<u64> {
    let text = value.as_str()?;
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, unit_ms) = UNITS.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*unit_ms)
}

/// Formats a duration in the largest unit that divides it.
pub(super) fn format_duration(ms: u64) -> String {
    let unit = UNITS.iter().find(|(_, unit_ms)| ms.is_multiple_of(*unit_ms) && ms > 0);
    let (name, unit_ms) = unit.unwrap_or(&("ms", 1));
    format!("{}{name}", ms / unit_ms)
}

/// Parses a non-negative integer.
pub(super) fn parse_integer(value: &DeValue<'_>) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

/// Parses an integer or a floating-point number.
pub(super) fn parse_number(value: &DeValue<'_>) -> Option<f64> {
    match value.as_float() {
        Some(float) => float.as_str().parse().ok(),
        None => parse_integer(value).map(|integer| integer as f64),
    }
}

/// Returns the content of a string.
pub(super) fn parse_string(value: &DeValue<'_>) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Parses a route pattern such as `GET /prices`: a method or `*`, and a path prefix.
pub(super) fn parse_route_pattern(value: &DeValue<'_>) -> Option<RoutePattern> {
    let (method, path) = value.as_str()?.split_once(' ')?;
    let prefix = path.strip_prefix('/')?;
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~!$&'()*+,;=:@/".contains(&byte);
    let is_invalid_segment = |segment: &str| matches!(segment, "" | "." | "..");
    let segments = prefix.trim_end_matches('/');
    let has_invalid_segment = !segments.is_empty() && segments.split('/').any(is_invalid_segment);
    if !METHODS.contains(&method) || !prefix.bytes().all(is_allowed) || has_invalid_segment {
        return None;
    }
    Some(RoutePattern { method: method.into(), prefix: segments.into() })
}

/// Formats a route pattern as [`parse_route_pattern`] reads it.
pub(super) fn format_route_pattern(route: &RoutePattern) -> String {
    format!("{} /{}", route.method, route.prefix)
}
