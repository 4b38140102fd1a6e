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
pub enum BootError {
    /// A line has no `=`; the number counts from 1.
    Line(usize),
    /// A field is missing.
    Missing(&'static str),
    /// The value of a field cannot be read.
    Value(&'static str, Box<str>),
}

impl fmt::Display for BootError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootError::Line(n) => write!(f, "line {n} is not of the form name=value"),
            BootError::Missing(name) => write!(f, "{name} is missing"),
            BootError::Value(name, value) => write!(f, "{name} cannot be {value:?}"),
        }
    }
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Boot {
    /// Instance. The platform calls it a node.
    pub instance: InstanceId,
    /// Data centre. The platform calls it a zone.
    pub centre: DataCentre,
    /// Address that callers connect to.
    pub front: Option<SocketAddr>,
    /// Address that is asked whether this instance takes connections.
    pub ready: Option<SocketAddr>,
    /// Address for the system's own messages.
    pub inner: Option<SocketAddr>,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Memory that the process may use, in MB.
    pub memory: u32,
    /// Connections that the process may hold, files left out.
    pub sockets: u32,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed per request, summed over all instances.
    pub retries: f64,
}

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u32 = 200;

impl Boot {
    /// Reads settings; fields that are not known are skipped.
    ///
    /// # Errors
    ///
    /// Returns the first field that is missing or cannot be read.
    pub fn parse(text: &str) -> Result<Boot, BootError> {
        let fields = scan_fields(text)?;
        let sockets: u32 = need::<u32>(&fields, "limits.max_fds")?;
        Ok(Boot {
            instance: need(&fields, "node")?,
            centre: need(&fields, "zone")?,
            front: find(&fields, "listen.front")?,
            ready: find(&fields, "listen.ready")?,
            inner: find_inner(&fields)?,
            store: need(&fields, "platform.address")?,
            memory: need::<f64>(&fields, "limits.memory_mb")? as u32,
            sockets: sockets.saturating_sub(FILE_DESCRIPTORS),
            grace: need_time(&fields, "bounds.grace_s")?,
            retries: need(&fields, "bounds.retry_budget_ratio")?,
        })
    }
}

fn scan_fields(text: &str) -> Result<HashMap<&str, &str>, BootError> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    lines
        .map(|(n, l)| l.split_once('=').ok_or(BootError::Line(n + 1)))
        .map(|pair| pair.map(|(k, v)| (k.trim(), v.trim())))
        .collect()
}

/// Returns the first of the ports that instances may use among themselves.
fn find_inner(fields: &HashMap<&str, &str>) -> Result<Option<SocketAddr>, BootError> {
    let Some(ip) = find::<IpAddr>(fields, "ip")? else { return Ok(None) };
    let Some(range) = fields.get("internal_port_range") else { return Ok(None) };
    let first = range.split(',').next().unwrap_or_default().trim();
    let port =
        first.parse().map_err(|_| BootError::Value("internal_port_range", (*range).into()))?;
    Ok(Some(SocketAddr::new(ip, port)))
}

fn find<T: FromStr>(
    fields: &HashMap<&str, &str>,
    name: &'static str,
) -> Result<Option<T>, BootError> {
    let parse = |v: &&str| v.parse().map_err(|_| BootError::Value(name, Box::from(*v)));
    fields.get(name).filter(|v| !v.is_empty()).map(parse).transpose()
}

/// Reads a time in seconds.
fn need_time(fields: &HashMap<&str, &str>, name: &'static str) -> Result<Duration, BootError> {
    let secs: f64 = need(fields, name)?;
    Duration::try_from_secs_f64(secs)
        .map_err(|e| BootError::Value(name, format!("{secs}: {e}").into()))
}

fn need<T: FromStr>(fields: &HashMap<&str, &str>, name: &'static str) -> Result<T, BootError> {
    find(fields, name)?.ok_or(BootError::Missing(name))
}
