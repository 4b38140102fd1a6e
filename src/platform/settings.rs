//! The settings file that the platform provides for a process: lines of `a.b=value`, with the items
//! of lists separated by commas.
//!
//! A process serves with settings that are not valid as a whole: a line that is not of this form is
//! skipped, and a field that is missing or has an invalid value is replaced, unless no process can
//! serve without it.

use crate::budget::Terms;
use crate::id::{DataCentre, InstanceId, MilliCores};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "SKYLARKTHREAD_BOOT";

/// Path of the settings file if the environment names none.
const DEFAULT_PATH: &str = "/etc/skylarkthread/settings.conf";

/// Returns the path of the settings file that the environment names, or else the platform's usual
/// one.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
}

/// The reason why a settings file is not valid.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingsError {
    /// The line with this number, counted from 1, has no `=`.
    Line(usize),
    /// The field with this name is missing.
    Missing(&'static str),
    /// The value of the named field cannot be parsed.
    Value(&'static str, Box<str>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Line(n) => write!(f, "line {n} is not of the form name=value"),
            SettingsError::Missing(name) => write!(f, "{name} is missing"),
            SettingsError::Value(name, value) => {
                write!(f, "{name} has the invalid value {value:?}")
            }
        }
    }
}

/// The settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of this instance, which the platform calls a node.
    pub instance: InstanceId,
    /// Data centre of this instance, which the platform calls a zone.
    pub centre: DataCentre,
    /// Address that callers connect to.
    pub caller_address: Option<SocketAddr>,
    /// Address of the readiness probe.
    pub probe_address: Option<SocketAddr>,
    /// Address for messages between instances.
    pub peer_address: Option<SocketAddr>,
    /// Address of the metadata store.
    pub store_address: SocketAddr,
    /// Processing power of the instance.
    pub power: MilliCores,
    /// Memory limit of the process in MB.
    pub memory_mb: u32,
    /// Maximum number of open sockets: the platform's descriptor limit less those for files.
    pub max_sockets: u32,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Retries that are allowed over all instances together.
    pub retry_terms: Terms,
    /// Whether the whole system starts for the first time, so that no process of this instance ran
    /// before.
    pub is_first_start: bool,
}

/// Memory limit in MB of a process to which the settings state none: that of the smallest instances.
const DEFAULT_MEMORY_MB: u32 = 110;
/// Descriptor limit of a process to which the settings state none.
const DEFAULT_MAX_FDS: u32 = 1024;
/// Time between SIGTERM and SIGKILL where the settings state none.
const DEFAULT_GRACE: Duration = Duration::from_secs(4);
/// Retries that are allowed where the settings state none: none.
const DEFAULT_RETRIES: Terms = Terms { ratio: 0.0, window: Duration::from_secs(10), slack: 0.0 };
/// Longest duration that a setting may have.
const MAX_SECS: f64 = 24.0 * 3600.0;

/// Number of descriptors that are left for files out of `limits.max_fds`.
const RESERVED_FDS: u32 = 200;

/// Settings as read from a file that need not be valid.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    /// Settings, with replacements for the faulty fields; `None` if a field is faulty that is required
    /// to serve.
    pub settings: Option<GatewaySettings>,
    /// Lines that were skipped, and fields that are faulty.
    pub faults: Vec<SettingsError>,
    /// Whether the file looks cut off: it lacks a field that the platform usually sets, or ends
    /// within the line of a field in use.
    pub is_partial: bool,
}

impl Reading {
    /// Returns whether the settings can be used without doubt.
    pub fn is_sound(&self) -> bool {
        self.settings.is_some() && self.faults.is_empty() && !self.is_partial
    }

    /// Describes what is wrong with the file.
    pub fn describe(&self) -> String {
        let faults: Vec<_> = self.faults.iter().map(ToString::to_string).collect();
        match (faults.is_empty(), self.is_partial) {
            (true, _) => "an address is missing, or the last line has no end".to_owned(),
            (false, true) => format!("{}; it looks cut off", faults.join(", ")),
            (false, false) => faults.join(", "),
        }
    }
}

impl GatewaySettings {
    /// Returns the memory limit of the process in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb as usize * 1_000_000
    }

    /// Parses settings; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first line or field that is not valid.
    pub fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
        let Reading { settings, faults, .. } = GatewaySettings::read(text, None);
        match faults.into_iter().next() {
            Some(fault) => Err(fault),
            // Each field that is required and missing is among the faults.
            None => settings.ok_or(SettingsError::Missing("node")),
        }
    }

    /// Replaces the names and own addresses of a process by those of `own`, which it keeps while it
    /// runs; returns whether they differed.
    pub fn keep_identity(&mut self, own: &GatewaySettings) -> bool {
        let kept = GatewaySettings {
            instance: own.instance.clone(),
            centre: own.centre.clone(),
            caller_address: own.caller_address,
            probe_address: own.probe_address,
            peer_address: own.peer_address,
            ..self.clone()
        };
        let is_changed = kept != *self;
        *self = kept;
        is_changed
    }

    /// Reads settings, with those of `known` in place of faulty ones, or else with defaults.
    pub fn read(text: &str, known: Option<&GatewaySettings>) -> Reading {
        let mut fields = Fields::new(text);
        let settings = fields.settings(known);
        let lacks_address = settings.as_ref().is_some_and(|s| {
            s.caller_address.is_none() || s.probe_address.is_none() || s.peer_address.is_none()
        });
        Reading { settings, faults: fields.faults, is_partial: lacks_address || fields.is_cut }
    }
}

/// The fields of a file, and the faults that were found in them so far.
#[derive(Debug)]
struct Fields<'t> {
    values: HashMap<&'t str, &'t str>,
    /// Name of the field in the last line if nothing ends that line.
    unended: Option<&'t str>,
    /// Whether the last line is that of a field in use, and nothing ends it.
    is_cut: bool,
    faults: Vec<SettingsError>,
}

impl<'t> Fields<'t> {
    fn new(text: &'t str) -> Fields<'t> {
        let (mut values, mut faults) = (HashMap::new(), Vec::new());
        let mut unended = None;
        for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            unended = line.split_once('=').map(|(name, _)| name.trim());
            match line.split_once('=') {
                Some((name, value)) => drop(values.insert(name.trim(), value.trim())),
                None => faults.push(SettingsError::Line(n + 1)),
            }
        }
        unended = unended.filter(|_| !text.ends_with('\n'));
        Fields { values, unended, is_cut: false, faults }
    }

    /// Returns the settings, unless a field is faulty that is required to serve.
    fn settings(&mut self, known: Option<&GatewaySettings>) -> Option<GatewaySettings> {
        let max_fds = self.limit("limits.max_fds");
        let max_sockets = max_fds.map(|n| n.saturating_sub(RESERVED_FDS));
        let default_sockets = DEFAULT_MAX_FDS - RESERVED_FDS;
        let instance = self.required_as("node", |s| InstanceId::from_label(s).ok());
        let centre = self.required_as("zone", |s| DataCentre::from_label(s).ok());
        let caller_address = self.optional("listen.front");
        let probe_address = self.optional("listen.ready");
        let peer_address = self.peer_address();
        let store_address = self.required("platform.address");
        let power = self.power();
        let memory_mb = self.limit("limits.memory_mb");
        let stop_grace = self.duration("bounds.grace_s");
        let retry_terms = self.retry_terms(known.map_or(DEFAULT_RETRIES, |k| k.retry_terms));
        let is_first_start = self.optional("bootstrap").unwrap_or(false);
        Some(GatewaySettings {
            instance: instance?,
            centre: centre?,
            caller_address,
            probe_address,
            peer_address,
            store_address: store_address?,
            power,
            memory_mb: memory_mb.unwrap_or(known.map_or(DEFAULT_MEMORY_MB, |k| k.memory_mb)),
            max_sockets: max_sockets.unwrap_or(known.map_or(default_sockets, |k| k.max_sockets)),
            stop_grace: stop_grace.unwrap_or(known.map_or(DEFAULT_GRACE, |k| k.stop_grace)),
            retry_terms,
            is_first_start,
        })
    }

    /// Returns a value that is present and not empty.
    fn get(&mut self, name: &'static str) -> Option<&'t str> {
        self.is_cut |= self.unended == Some(name);
        self.values.get(name).copied().filter(|v| !v.is_empty())
    }

    fn add_invalid(&mut self, name: &'static str, value: impl fmt::Display) {
        self.faults.push(SettingsError::Value(name, value.to_string().into()));
    }

    fn optional<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        self.optional_as(name, |value| value.parse().ok())
    }

    fn optional_as<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(name)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.add_invalid(name, value);
        }
        parsed
    }

    fn required<T: FromStr>(&mut self, name: &'static str) -> Option<T> {
        self.required_as(name, |value| value.parse().ok())
    }

    fn required_as<T>(
        &mut self,
        name: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.get(name).is_none() {
            self.faults.push(SettingsError::Missing(name));
        }
        self.optional_as(name, parse)
    }

    /// Returns a limit: a positive number, of which the fraction is dropped.
    fn limit(&mut self, name: &'static str) -> Option<u32> {
        let number: f64 = self.required(name)?;
        if (1.0..=f64::from(u32::MAX)).contains(&number) {
            return Some(number as u32);
        }
        self.add_invalid(name, number);
        None
    }

    /// Returns a number that is at least 0.
    fn amount(&mut self, name: &'static str) -> Option<f64> {
        let number: f64 = self.optional(name)?;
        if number.is_finite() && number >= 0.0 {
            return Some(number);
        }
        self.add_invalid(name, number);
        None
    }

    /// Returns a duration that is given in seconds.
    fn duration(&mut self, name: &'static str) -> Option<Duration> {
        let secs: f64 = self.required(name)?;
        match Duration::try_from_secs_f64(secs) {
            Ok(duration) if secs <= MAX_SECS => return Some(duration),
            Ok(_) => self.add_invalid(name, format_args!("{secs}: over {MAX_SECS}")),
            Err(e) => self.add_invalid(name, format_args!("{secs}: {e}")),
        }
        None
    }

    /// Returns the address for messages between instances: the first port of the platform's range
    /// for internal traffic.
    fn peer_address(&mut self) -> Option<SocketAddr> {
        const RANGE: &str = "internal_port_range";
        let ip: Option<IpAddr> = self.optional("ip");
        let range = self.get(RANGE)?;
        let port = range.split(',').next().and_then(|p| p.trim().parse().ok());
        if port.is_none() {
            self.add_invalid(RANGE, range);
        }
        Some(SocketAddr::new(ip?, port?))
    }

    /// Returns the retries that are allowed; without a slack where the platform states none.
    fn retry_terms(&mut self, default: Terms) -> Terms {
        const RATIO: &str = "bounds.retry_budget_ratio";
        const WINDOW: &str = "bounds.budget_window_s";
        if self.get(RATIO).is_none() {
            self.faults.push(SettingsError::Missing(RATIO));
        }
        let window = self.get(WINDOW).and_then(|_| self.duration(WINDOW));
        Terms {
            ratio: self.amount(RATIO).unwrap_or(default.ratio),
            window: window.unwrap_or(default.window),
            slack: self.amount("bounds.budget_slack").unwrap_or(0.0),
        }
    }

    /// Returns the processing power; zero if the platform states no share of a core.
    fn power(&mut self) -> MilliCores {
        let share = self.amount("limits.cpu_share").unwrap_or(0.0);
        let cores = self.amount("limits.cores").unwrap_or(1.0);
        MilliCores((share * cores * 1e3) as u32)
    }
}
