//! The deploy file, read as far as it concerns this binary, so that a slip shows before a
//! deployment does.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;

/// Classes of machines that a role may stand on.
const CLASSES: [&str; 2] = ["front", "side"];
/// Who may call a role.
const CALLERS: [&str; 3] = ["front", "side", "control"];

/// A deploy file.
#[derive(Debug, Clone, Deserialize)]
pub struct Deploy {
    /// Command that builds the system.
    pub build: Box<str>,
    /// Roles by their names.
    pub roles: BTreeMap<Box<str>, Role>,
}

/// One role.
#[derive(Debug, Clone, Deserialize)]
pub struct Role {
    /// Program and arguments, split at spaces.
    pub run: Box<str>,
    /// Class of the machines that run it. The platform says `on`.
    #[serde(rename = "on")]
    pub class: Box<str>,
    /// Share of those machines.
    #[serde(default)]
    pub share: Option<f64>,
    /// Number of those machines in each data centre, in place of a share.
    #[serde(default)]
    pub count: Option<u32>,
    /// Who may call it. The platform says `serves`.
    #[serde(default, rename = "serves")]
    pub callers: Vec<Box<str>>,
    /// Port and path of its metrics.
    #[serde(default)]
    pub metrics: Option<Box<str>>,
}

/// Tells what is wrong with a deploy file.
#[derive(Debug, Clone, PartialEq)]
pub enum DeployError {
    /// It cannot be read; the text names line and column.
    Syntax(Box<str>),
    /// A role cannot be deployed like this.
    Role(Box<str>, Box<str>),
}

impl fmt::Display for DeployError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DeployError::Syntax(text) => f.write_str(text),
            DeployError::Role(role, fault) => write!(f, "role {role}: {fault}"),
        }
    }
}

impl Deploy {
    /// Reads a deploy file and looks for slips in its roles.
    ///
    /// # Errors
    ///
    /// Returns all that is wrong with it.
    pub fn parse(text: &str) -> Result<Deploy, Vec<DeployError>> {
        let syntax = |e: toml::de::Error| vec![DeployError::Syntax(e.to_string().into())];
        let deploy: Deploy = toml::from_str(text).map_err(syntax)?;
        let faults: Vec<DeployError> = deploy
            .roles
            .iter()
            .flat_map(|(name, r)| {
                r.faults().into_iter().map(|f| DeployError::Role(name.clone(), f.into()))
            })
            .collect();
        if faults.is_empty() { Ok(deploy) } else { Err(faults) }
    }
}

impl Role {
    fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if !CLASSES.contains(&&*self.class) {
            faults.push(format!("no class of machines is called {:?}", self.class));
        }
        if self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            faults.push("share is not above 0 and at most 1".to_owned());
        }
        if self.share.is_some() == self.count.is_some() {
            faults.push("one of share and count is needed".to_owned());
        }
        let strangers = self.callers.iter().filter(|c| !CALLERS.contains(&&***c));
        faults.extend(strangers.map(|c| format!("nobody is called {c:?}")));
        if let Some(fault) = self.metrics_fault() {
            faults.push(fault);
        }
        faults
    }

    /// Compares the address of the metrics with the port that the program is told to open.
    fn metrics_fault(&self) -> Option<String> {
        let metrics = self.metrics.as_deref()?;
        let (port, path) = metrics.split_once('/')?;
        let words: Vec<&str> = self.run.split(' ').collect();
        let told = words.windows(2).find(|w| w[0] == "--metrics").map(|w| w[1]);
        if told != Some(port) {
            let told = told.unwrap_or("absent");
            return Some(format!("metrics are fetched at port {port}, --metrics is {told}"));
        }
        (path != "metrics").then(|| format!("metrics are not served at /{path}"))
    }
}
