//! Checks the parts of the platform's deploy file that concern this binary, so that mistakes are
//! found before a deployment.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;

/// Machine classes on which a role can run.
const MACHINE_CLASSES: [&str; 2] = ["front", "side"];
/// Machine classes that may be allowed to call a role, and the control plane.
const CALLERS: [&str; 3] = ["front", "side", "control"];

/// A deploy file.
#[derive(Debug, Clone, Deserialize)]
pub struct Deploy {
    /// Command that builds the binaries.
    pub build: Box<str>,
    /// Roles by name.
    pub roles: BTreeMap<Box<str>, Role>,
}

/// A role: one program and the machines that it runs on.
#[derive(Debug, Clone, Deserialize)]
pub struct Role {
    /// Program and arguments, separated by spaces.
    pub run: Box<str>,
    /// Class of the machines that run the role; `on` in the file.
    #[serde(rename = "on")]
    pub class: Box<str>,
    /// Fraction of those machines that run the role, above 0 and at most 1.
    #[serde(default)]
    pub share: Option<f64>,
    /// Number of those machines per data centre that run the role, as an alternative to `share`.
    #[serde(default)]
    pub count: Option<u32>,
    /// Callers that may connect to the role; `serves` in the file.
    #[serde(default, rename = "serves")]
    pub callers: Vec<Box<str>>,
    /// Port and path at which the platform fetches metrics, as `port/path`.
    #[serde(default)]
    pub metrics: Option<Box<str>>,
}

/// An error in a deploy file.
#[derive(Debug, Clone, PartialEq)]
pub enum DeployError {
    /// The file cannot be parsed; the text contains line and column.
    Syntax(Box<str>),
    /// The role with this name has the described error.
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
    /// Parses a deploy file and validates its roles.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found, at least one.
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
        if !MACHINE_CLASSES.contains(&&*self.class) {
            faults.push(format!("on: unknown machine class {:?}", self.class));
        }
        if self.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            faults.push("share: must be above 0 and at most 1".to_owned());
        }
        if self.share.is_some() == self.count.is_some() {
            faults.push("exactly one of share and count must be set".to_owned());
        }
        let unknown = self.callers.iter().filter(|c| !CALLERS.contains(&&***c));
        faults.extend(unknown.map(|c| format!("serves: unknown caller {c:?}")));
        if let Some(fault) = self.metrics_fault() {
            faults.push(fault);
        }
        faults
    }

    /// Compares the port and path of `metrics` with those that the program serves.
    fn metrics_fault(&self) -> Option<String> {
        let metrics = self.metrics.as_deref()?;
        let (port, path) = metrics.split_once('/')?;
        let args: Vec<&str> = self.run.split(' ').collect();
        let flag = args.windows(2).find(|w| w[0] == "--metrics").map(|w| w[1]);
        if flag != Some(port) {
            let flag = flag.unwrap_or("absent");
            return Some(format!("metrics: port is {port}, but --metrics is {flag}"));
        }
        (path != "metrics")
            .then(|| format!("metrics: path is /{path}, but metrics are served at /metrics"))
    }
}
