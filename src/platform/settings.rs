//! The settings file of a process: lines of `a.b=value`, lists joined by commas.

use crate::id::{DataCentre, InstanceId};
use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

/// Variable that names the settings file.
const PATH_VARIABLE: &str = "SKYLARKTHREAD_BOOT";

/// Returns the path of the settings file, where the platform names one.
pub fn settings_path() -> Option<PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(PathBuf::from)
}

/// Tells what is wrong with a settings file.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingsError {
    /// A line has no `=`; the number counts from 1.
    Line(usize),
    /// A field is missing.
    Missing(&'static str),
    /// The value of a field cannot be read.
    Value(&'static str, Box<str>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Line(n) => write!(f, "line {n} is not of the form name=value"),
            SettingsError::Missing(name) => write!(f, "{name} is missing"),
            SettingsError::Value(name, value) => write!(f, "{name} cannot be {value:?}"),
        }
    }
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Instance. The platform calls it a node.
    pub instance: InstanceId,
    /// Data centre. The platform calls it a zone.
    pub centre: DataCentre,
    /// Address that callers connect to.
    pub caller_address: Option<SocketAddr>,
    /// Address that is asked whether this instance takes connections.
    pub probe_address: Option<SocketAddr>,
    /// Address for the system's own messages.
    pub peer_address: Option<SocketAddr>,
    /// Address of the metadata store.
    pub store_address: SocketAddr,
    /// Memory that the process may use, in MB.
    pub memory_mb: u32,
    /// Connections that the process may hold, files left out.
    pub max_sockets: u32,
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace: Duration,
    /// Retries allowed per request, summed over all instances.
    pub retry_ratio: f64,
}

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u32 = 200;

impl GatewaySettings {
    /// Reads settings; fields that are not known are skipped.
    ///
    /// # Errors
    ///
    /// Returns the first field that is missing or cannot be read.
    pub fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
        let fields = scan_fields(text)?;
        let sockets: u32 = need::<u32>(&fields, "limits.max_fds")?;
        Ok(GatewaySettings {
            instance: need(&fields, "node")?,
            centre: need(&fields, "zone")?,
            caller_address: find(&fields, "listen.front")?,
            probe_address: find(&fields, "listen.ready")?,
            peer_address: find_inner(&fields)?,
            store_address: need(&fields, "platform.address")?,
            memory_mb: need::<f64>(&fields, "limits.memory_mb")? as u32,
            max_sockets: sockets.saturating_sub(FILE_DESCRIPTORS),
            stop_grace: need_time(&fields, "bounds.grace_s")?,
            retry_ratio: need(&fields, "bounds.retry_budget_ratio")?,
        })
    }
}

fn scan_fields(text: &str) -> Result<HashMap<&str, &str>, SettingsError> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    lines
        .map(|(n, l)| l.split_once('=').ok_or(SettingsError::Line(n + 1)))
        .map(|pair| pair.map(|(k, v)| (k.trim(), v.trim())))
        .collect()
}

/// Returns the first of the ports that instances may use among themselves.
fn find_inner(fields: &HashMap<&str, &str>) -> Result<Option<SocketAddr>, SettingsError> {
    let Some(ip) = find::<IpAddr>(fields, "ip")? else { return Ok(None) };
    let Some(range) = fields.get("internal_port_range") else { return Ok(None) };
    let first = range.split(',').next().unwrap_or_default().trim();
    let port =
        first.parse().map_err(|_| SettingsError::Value("internal_port_range", (*range).into()))?;
    Ok(Some(SocketAddr::new(ip, port)))
}

fn find<T: FromStr>(
    fields: &HashMap<&str, &str>,
    name: &'static str,
) -> Result<Option<T>, SettingsError> {
    let parse = |v: &&str| v.parse().map_err(|_| SettingsError::Value(name, Box::from(*v)));
    fields.get(name).filter(|v| !v.is_empty()).map(parse).transpose()
}

/// Reads a time in seconds.
fn need_time(fields: &HashMap<&str, &str>, name: &'static str) -> Result<Duration, SettingsError> {
    let secs: f64 = need(fields, name)?;
    Duration::try_from_secs_f64(secs)
        .map_err(|e| SettingsError::Value(name, format!("{secs}: {e}").into()))
}

fn need<T: FromStr>(fields: &HashMap<&str, &str>, name: &'static str) -> Result<T, SettingsError> {
    find(fields, name)?.ok_or(SettingsError::Missing(name))
}
