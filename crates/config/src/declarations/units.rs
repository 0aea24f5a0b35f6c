//! Values as they are written: durations with a unit, whole numbers, routes.

use {toml::de::DeValue, trefoilring_core::catalog::RoutePattern};

/// Units of durations in milliseconds, the largest first.
const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1000), ("ms", 1)];
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"];

/// Reads a duration such as `90s` in milliseconds.
pub(super) fn duration_ms(value: &DeValue<'_>) -> Option<u64> {
    let text = value.as_str()?;
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, unit_ms) = UNITS.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*unit_ms)
}

/// Writes a duration in the largest unit that divides it.
pub(super) fn duration_text(ms: u64) -> String {
    let unit = UNITS.iter().find(|(_, unit_ms)| ms.is_multiple_of(*unit_ms) && ms > 0);
    let (name, unit_ms) = unit.unwrap_or(&("ms", 1));
    format!("{}{name}", ms / unit_ms)
}

/// Reads a whole number.
pub(super) fn whole(value: &DeValue<'_>) -> Option<u64> {
    let integer = value.as_integer()?;
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}

/// Reads a number with or without a fraction.
pub(super) fn number(value: &DeValue<'_>) -> Option<f64> {
    match value.as_float() {
        Some(float) => float.as_str().parse().ok(),
        None => whole(value).map(|whole| whole as f64),
    }
}

/// Reads a text.
pub(super) fn text(value: &DeValue<'_>) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Reads a route such as `GET /prices`: a method or `*`, and the start of a path.
pub(super) fn route(value: &DeValue<'_>) -> Option<RoutePattern> {
    let (method, path) = value.as_str()?.split_once(' ')?;
    let prefix = path.strip_prefix('/')?;
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~!$&'()*+,;=:@/".contains(&byte);
    let has_odd_segment = |segment: &str| matches!(segment, "" | "." | "..");
    let segments = prefix.trim_end_matches('/');
    let is_odd = !segments.is_empty() && segments.split('/').any(has_odd_segment);
    if !METHODS.contains(&method) || !prefix.bytes().all(is_plain) || is_odd {
        return None;
    }
    Some(RoutePattern { method: method.into(), prefix: segments.into() })
}

/// Writes a route.
pub(super) fn route_text(route: &RoutePattern) -> String {
    format!("{} /{}", route.method, route.prefix)
}
