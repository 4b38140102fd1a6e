//! Adapter to the users' platform.
//!
//! Translates the platform's settings file, metadata store, endpoint entries, configuration,
//! headers and engine calls into the project's own types and back. No decisions are made here, and
//! no other module names a header, field, key or call of the platform.

mod config;
mod deploy;
mod engine;
mod fields;
mod headers;
mod items;
mod kv;
mod lists;
mod range;
mod servers;
mod settings;
mod time;

pub use config::{ConfigError, parse_table};
pub use deploy::{Deploy, DeployError, Role};
pub use engine::{
    CallError, CopyOutcome, Handoff, Identity, Probe, Report, copy_memory, fetch_report, free_copy,
    probe,
};
pub use headers::{
    ForwardParams, HeaderFault, Question, RequestInfo, ResponseInfo, TokenCounts, asked_workspace,
    explained_path, forward_head, host, parse_limit, parse_request, parse_response, refusal_head,
    response_head,
};
pub use kv::KvClient;
pub use range::Listed;
pub use servers::parse_listing;
pub use settings::{GatewaySettings, Reading, SettingsError, settings_path};

/// Store key of the operators' configuration.
pub const CONFIG_KEY: &str = "op/config";
/// Prefix of the store keys under which endpoints are listed.
pub const SERVERS_PREFIX: &str = "servers/";
/// Prefix of the store keys with which the operator evacuates data centres, which the platform calls
/// zones.
pub const EVACUATIONS_PREFIX: &str = "op/evacuate/";
/// Path of the platform's readiness probe.
pub const READY_PATH: &str = "/ready";
