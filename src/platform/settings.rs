//! The settings file that the platform provides for a process: lines of `a.b=value`, with the items
//! of lists separated by commas.

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

/// Returns the path of the settings file if the platform has set one in the environment.
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(PathBuf::from)
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

/// Window of the retry budget where the settings name none.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Number of descriptors that are left for files out of `limits.max_fds`.
const RESERVED_FDS: u32 = 200;

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
        let fields = parse_fields(text)?;
        let max_fds: u32 = required::<u32>(&fields, "limits.max_fds")?;
        Ok(GatewaySettings {
            instance: required(&fields, "node")?,
            centre: required(&fields, "zone")?,
            caller_address: optional(&fields, "listen.front")?,
            probe_address: optional(&fields, "listen.ready")?,
            peer_address: peer_address(&fields)?,
            store_address: required(&fields, "platform.address")?,
            power: power(&fields)?,
            memory_mb: required::<f64>(&fields, "limits.memory_mb")? as u32,
            max_sockets: max_fds.saturating_sub(RESERVED_FDS),
            stop_grace: required_duration(&fields, "bounds.grace_s")?,
            retry_terms: retry_terms(&fields)?,
            is_first_start: optional(&fields, "bootstrap")?.unwrap_or(false),
        })
    }
}

fn parse_fields(text: &str) -> Result<HashMap<&str, &str>, SettingsError> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    lines
        .map(|(n, l)| l.split_once('=').ok_or(SettingsError::Line(n + 1)))
        .map(|pair| pair.map(|(k, v)| (k.trim(), v.trim())))
        .collect()
}

/// Returns the address for messages between instances: the first port of the platform's range for
/// internal traffic.
fn peer_address(fields: &HashMap<&str, &str>) -> Result<Option<SocketAddr>, SettingsError> {
    let Some(ip) = optional::<IpAddr>(fields, "ip")? else { return Ok(None) };
    let Some(range) = fields.get("internal_port_range") else { return Ok(None) };
    let first = range.split(',').next().unwrap_or_default().trim();
    let port =
        first.parse().map_err(|_| SettingsError::Value("internal_port_range", (*range).into()))?;
    Ok(Some(SocketAddr::new(ip, port)))
}

/// Returns the retries that are allowed; without a slack where the platform states none.
fn retry_terms(fields: &HashMap<&str, &str>) -> Result<Terms, SettingsError> {
    const WINDOW: &str = "bounds.budget_window_s";
    let window = match fields.get(WINDOW) {
        Some(_) => required_duration(fields, WINDOW)?,
        None => DEFAULT_RETRY_WINDOW,
    };
    let ratio = required(fields, "bounds.retry_budget_ratio")?;
    let slack = optional(fields, "bounds.budget_slack")?.unwrap_or(0.0);
    Ok(Terms { ratio, window, slack })
}

/// Returns the processing power; zero if the platform states no share of a core.
fn power(fields: &HashMap<&str, &str>) -> Result<MilliCores, SettingsError> {
    let share: f64 = optional(fields, "limits.cpu_share")?.unwrap_or(0.0);
    let cores: f64 = optional(fields, "limits.cores")?.unwrap_or(1.0);
    Ok(MilliCores((share * cores * 1e3) as u32))
}

fn optional<T: FromStr>(
    fields: &HashMap<&str, &str>,
    name: &'static str,
) -> Result<Option<T>, SettingsError> {
    let parse = |v: &&str| v.parse().map_err(|_| SettingsError::Value(name, Box::from(*v)));
    fields.get(name).filter(|v| !v.is_empty()).map(parse).transpose()
}

/// Parses a required duration in seconds.
fn required_duration(
    fields: &HashMap<&str, &str>,
    name: &'static str,
) -> Result<Duration, SettingsError> {
    let secs: f64 = required(fields, name)?;
    Duration::try_from_secs_f64(secs)
        .map_err(|e| SettingsError::Value(name, format!("{secs}: {e}").into()))
}

fn required<T: FromStr>(
    fields: &HashMap<&str, &str>,
    name: &'static str,
) -> Result<T, SettingsError> {
    optional(fields, name)?.ok_or(SettingsError::Missing(name))
}
