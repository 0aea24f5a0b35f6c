//! Checks of single settings. Each returns `None` after noting a fault, so that all are found.

use {
    super::{LogLevel, SettingFault, Settings, SettingsError},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        ops::RangeInclusive,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
};

/// The longest name of a host or failure domain.
const MAX_NAME_CHARS: usize = 63;
/// Heartbeats that fit into a lease at least, so that two lost ones don't end it.
const MIN_HEARTBEATS_A_LEASE: u32 = 3;
const MAX_LEASE_MS: u64 = 600_000;
const LEVELS: [(&str, LogLevel); 6] = [
    ("off", LogLevel::Off),
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

/// Reads values and collects faults.
pub(super) struct Checker<'a> {
    values: &'a BTreeMap<&'static str, String>,
    faults: Vec<SettingFault>,
}

impl<'a> Checker<'a> {
    pub fn new(values: &'a BTreeMap<&'static str, String>) -> Self {
        Self { values, faults: Vec::new() }
    }

    /// Returns the settings if no check failed.
    pub fn finish(self, settings: Option<Settings>) -> Result<Settings, SettingsError> {
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { faults: self.faults }),
        }
    }

    /// Reads a name that may stand in keys of the Object API and in program ids.
    pub fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        let accepted = format!("1 to {MAX_NAME_CHARS} characters out of a-z, 0-9 and -");
        let value = self.required(flag, &accepted)?;
        let is_known = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        let is_valid = !value.is_empty() && value.len() <= MAX_NAME_CHARS;
        if is_valid && value.chars().all(is_known) {
            return Some(value.into());
        }
        self.refuse(flag, value, &accepted)
    }

    /// Reads an address to listen on.
    pub fn address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let accepted = "an IP number and a port, such as 127.0.0.1:8080";
        let value = self.required(flag, accepted)?;
        match value.parse() {
            Ok(address) => Some(address),
            Err(_) => self.refuse(flag, value, accepted),
        }
    }

    /// Reads an address to connect to.
    pub fn endpoint(&mut self, flag: &'static str) -> Option<SocketAddr> {
        let accepted = "an IP number other than 0.0.0.0 and a port above 0, such as 10.0.0.7:9000";
        let value = self.required(flag, accepted)?;
        match value.parse::<SocketAddr>() {
            Ok(address) if !address.ip().is_unspecified() && address.port() != 0 => Some(address),
            _ => self.refuse(flag, value, accepted),
        }
    }

    /// Reads the address told to other hosts, which the address listened on stands in for.
    pub fn advertise(
        &mut self,
        flag: &'static str,
        peer_listen: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let accepted = "an IP number at which other hosts reach this one and a port; required if \
                        --peer-listen names no address of its own";
        let Some(value) = self.given(flag) else {
            let address = peer_listen?;
            if address.ip().is_unspecified() {
                return self.missing(flag, accepted);
            }
            return Some(address);
        };
        let may_be_bound = peer_listen.is_none_or(|address| address.port() == 0);
        match value.parse::<SocketAddr>() {
            Ok(address) if address.ip().is_unspecified() => self.refuse(flag, value, accepted),
            Ok(address) if address.port() == 0 && !may_be_bound => {
                self.refuse(flag, value, accepted)
            }
            Ok(address) => Some(address),
            Err(_) => self.refuse(flag, value, accepted),
        }
    }

    /// Reads an optional folder, which has to exist.
    pub fn folder(&mut self, flag: &'static str) -> Option<Option<PathBuf>> {
        let Some(value) = self.given(flag) else { return Some(None) };
        if Path::new(value).is_dir() {
            return Some(Some(value.into()));
        }
        self.refuse(flag, value, "a folder that exists")
    }

    /// Reads an optional file, whose folder has to exist.
    pub fn file(&mut self, flag: &'static str) -> Option<Option<PathBuf>> {
        let Some(value) = self.given(flag) else { return Some(None) };
        let path = Path::new(value);
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        let has_folder = folder.is_none_or(Path::is_dir);
        if path.file_name().is_some() && !path.is_dir() && has_folder {
            return Some(Some(path.into()));
        }
        self.refuse(flag, value, "a file in a folder that exists")
    }

    /// Reads a whole number.
    pub fn count(&mut self, flag: &'static str, range: RangeInclusive<usize>) -> Option<usize> {
        let accepted = format!("a whole number from {} to {}", range.start(), range.end());
        let value = self.required(flag, &accepted)?;
        match value.parse() {
            Ok(count) if range.contains(&count) => Some(count),
            _ => self.refuse(flag, value, &accepted),
        }
    }

    /// Reads a whole number of milliseconds.
    pub fn duration_ms(
        &mut self,
        flag: &'static str,
        range_ms: RangeInclusive<u64>,
    ) -> Option<Duration> {
        let (least, most) = (range_ms.start(), range_ms.end());
        let accepted = format!("whole milliseconds from {least} to {most}");
        let value = self.required(flag, &accepted)?;
        match value.parse() {
            Ok(ms) if range_ms.contains(&ms) => Some(Duration::from_millis(ms)),
            _ => self.refuse(flag, value, &accepted),
        }
    }

    /// Reads the lease, which has to outlast lost heartbeats.
    pub fn lease(&mut self, flag: &'static str, heartbeat: Option<Duration>) -> Option<Duration> {
        let least = heartbeat.map_or(0, |beat| (beat * MIN_HEARTBEATS_A_LEASE).as_millis() as u64);
        self.duration_ms(flag, least..=MAX_LEASE_MS)
    }

    /// Reads a level of the log.
    pub fn log_level(&mut self, flag: &'static str) -> Option<LogLevel> {
        self.choice(flag, &LEVELS)
    }

    /// Reads one of a few words.
    pub fn choice<T: Copy>(&mut self, flag: &'static str, words: &[(&str, T)]) -> Option<T> {
        let accepted = words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        let value = self.required(flag, &accepted)?;
        match words.iter().find(|(word, _)| *word == value) {
            Some((_, chosen)) => Some(*chosen),
            None => self.refuse(flag, value, &accepted),
        }
    }

    fn given(&self, flag: &'static str) -> Option<&'a str> {
        self.values.get(flag).map(String::as_str)
    }

    fn required(&mut self, flag: &'static str, accepted: &str) -> Option<&'a str> {
        let given = self.given(flag);
        if given.is_none() {
            self.missing::<()>(flag, accepted);
        }
        given
    }

    fn missing<T>(&mut self, flag: &'static str, accepted: &str) -> Option<T> {
        let fault =
            SettingFault { flag, value: "is missing".into(), accepted: accepted.to_owned() };
        self.faults.push(fault);
        None
    }

    fn refuse<T>(&mut self, flag: &'static str, value: &str, accepted: &str) -> Option<T> {
        let value = format!("{value:?} is not accepted");
        self.faults.push(SettingFault { flag, value, accepted: accepted.to_owned() });
        None
    }
}
