//! Checks of single settings. A check that fails adds a diagnostic and returns `None`, so that one
//! pass reports all diagnostics.

use {
    super::{LogLevel, SettingDiagnostic, Settings, SettingsError},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        ops::RangeInclusive,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// Maximum length of the name of a host or failure domain.
const MAX_NAME_CHARS: usize = 63;
/// Minimum number of heartbeat intervals in a lease. With three, a lease survives two lost
/// heartbeats.
const MIN_HEARTBEATS_PER_LEASE: u32 = 3;
const MAX_LEASE_MS: u64 = 600_000;
const LOG_LEVELS: [(&str, LogLevel); 6] = [
    ("off", LogLevel::Off),
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

/// Parses values and collects diagnostics.
pub(super) struct Checker<'a> {
    values: &'a BTreeMap<&'static str, String>,
    diagnostics: Vec<SettingDiagnostic>,
}

impl<'a> Checker<'a> {
    pub fn new(values: &'a BTreeMap<&'static str, String>) -> Self {
        Self { values, diagnostics: Vec::new() }
    }

    /// Returns the settings, or all diagnostics if any check failed.
    pub fn finish(self, settings: Option<Settings>) -> Result<Settings, SettingsError> {
        match settings {
            Some(settings) if self.diagnostics.is_empty() => Ok(settings),
            _ => Err(SettingsError { diagnostics: self.diagnostics }),
        }
    }

    /// Parses a name that is valid in Object API keys and in program ids.
    pub fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        let accepted = format!("1 to {MAX_NAME_CHARS} characters out of a-z, 0-9 and -");
        let value = self.required(flag, &accepted)?;
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let has_valid_length = !value.is_empty() && value.len() <= MAX_NAME_CHARS;
        if has_valid_length && value.chars().all(is_allowed) {
            return Some(value.into());
        }
        self.reject(flag, value, &accepted)
    }

    /// Parses an address to listen on.
    pub fn listen_address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let accepted = "an IP number and a port, such as 127.0.0.1:8080";
        let value = self.required(flag, accepted)?;
        match value.parse() {
            Ok(address) => Some(address),
            Err(_) => self.reject(flag, value, accepted),
        }
    }

    /// Parses an address to connect to.
    pub fn connect_address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let accepted = "an IP number other than 0.0.0.0 and a port above 0, such as 10.0.0.7:9000";
        let value = self.required(flag, accepted)?;
        match value.parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() && address.port() != 0 => Some(address),
            _ => self.reject(flag, value, accepted),
        }
    }

    /// Parses the address that other hosts connect to. Defaults to `peer_listen`.
    pub fn advertise_address(
        &mut self,
        flag: &'static str,
        peer_listen: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let accepted = "an IP number at which other hosts reach this one and a port; required if \
                        --peer-listen names no address of its own";
        let Some(value) = self.value(flag) else {
            let address = peer_listen?;
            if address.ip().is_unspecified() {
                return self.missing(flag, accepted);
            }
            return Some(address);
        };
        let may_use_bound_port = peer_listen.is_none_or(|address| address.port() == 0);
        match value.parse::<SocketAddr>() {
            Ok(address) if address.ip().is_unspecified() => self.reject(flag, value, accepted),
            Ok(address) if address.port() == 0 && !may_use_bound_port => {
                self.reject(flag, value, accepted)
            }
            Ok(address) => Some(address),
            Err(_) => self.reject(flag, value, accepted),
        }
    }

    /// Parses the path of an optional directory, which must exist.
    pub fn directory(&mut self, flag: &'static str) -> Option<Option<PathBuf>> {
        let Some(value) = self.value(flag) else { return Some(None) };
        if Path::new(value).is_dir() {
            return Some(Some(value.into()));
        }
        self.reject(flag, value, "a folder that exists")
    }

    /// Parses the path of an optional file, whose directory must exist.
    pub fn file(&mut self, flag: &'static str) -> Option<Option<PathBuf>> {
        let Some(value) = self.value(flag) else { return Some(None) };
        let path = Path::new(value);
        let directory = path.parent().filter(|directory| !directory.as_os_str().is_empty());
        let has_valid_directory = directory.is_none_or(Path::is_dir);
        if path.file_name().is_some() && !path.is_dir() && has_valid_directory {
            return Some(Some(path.into()));
        }
        self.reject(flag, value, "a file in a folder that exists")
    }

    /// Parses an integer.
    pub fn count(&mut self, flag: &'static str, range: RangeInclusive<usize>) -> Option<usize> {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.required(flag, &accepted)?;
        match value.parse() {
            Ok(count) if range.contains(&count) => Some(count),
            _ => self.reject(flag, value, &accepted),
        }
    }

    /// Parses a duration in milliseconds.
    pub fn duration_ms(
        &mut self,
        flag: &'static str,
        range_ms: RangeInclusive<u64>,
    ) -> Option<Duration> {
        let (min, max) = (range_ms.start(), range_ms.end());
        let accepted = format!("whole milliseconds from {min} to {max}");
        let value = self.required(flag, &accepted)?;
        match value.parse() {
            Ok(ms) if range_ms.contains(&ms) => Some(Duration::from_millis(ms)),
            _ => self.reject(flag, value, &accepted),
        }
    }

    /// Parses the lease duration, which must be at least [`MIN_HEARTBEATS_PER_LEASE`] heartbeat
    /// intervals.
    pub fn lease(&mut self, flag: &'static str, heartbeat: Option<Duration>) -> Option<Duration> {
        let min = heartbeat
            .map_or(0, |interval| (interval * MIN_HEARTBEATS_PER_LEASE).as_millis() as u64);
        self.duration_ms(flag, min..=MAX_LEASE_MS)
    }

    /// Parses a log level.
    pub fn log_level(&mut self, flag: &'static str) -> Option<LogLevel> {
        self.choice(flag, &LOG_LEVELS)
    }

    /// Parses one of a fixed set of keywords.
    pub fn choice<T: Copy>(&mut self, flag: &'static str, keywords: &[(&str, T)]) -> Option<T> {
        let accepted = keywords.iter().map(|(keyword, _)| *keyword).collect::<Vec<_>>().join(", ");
        let value = self.required(flag, &accepted)?;
        match keywords.iter().find(|(keyword, _)| *keyword == value) {
            Some((_, chosen)) => Some(*chosen),
            None => self.reject(flag, value, &accepted),
        }
    }

    fn value(&self, flag: &'static str) -> Option<&'a str> {
        self.values.get(flag).map(String::as_str)
    }

    fn required(&mut self, flag: &'static str, accepted: &str) -> Option<&'a str> {
        let value = self.value(flag);
        if value.is_none() {
            self.missing::<()>(flag, accepted);
        }
        value
    }

    fn missing<T>(&mut self, flag: &'static str, accepted: &str) -> Option<T> {
        let diagnostic =
            SettingDiagnostic { flag, value: "is missing".into(), accepted: accepted.to_owned() };
        self.diagnostics.push(diagnostic);
        None
    }

    fn reject<T>(&mut self, flag: &'static str, value: &str, accepted: &str) -> Option<T> {
        let value = format!("{value:?} is not accepted");
        self.diagnostics.push(SettingDiagnostic { flag, value, accepted: accepted.to_owned() });
        None
    }
}
