//! The operators' client, which sends requests to an entry.

use super::args::{ShowArgs, StatusArgs, SubmitArgs, TimelineArgs};
use super::{EXIT_FAILED, EXIT_REFUSED, EXIT_UNKNOWN, read_file};
use crate::escape::query_value;
use crate::h1::{self, CallLimits, FetchError};
use actix_http::header::{AUTHORIZATION, HeaderValue};
use actix_http::{Method, ServiceConfig};
use bytes::Bytes;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Bounds of a request to an entry.
const LIMITS: CallLimits = CallLimits {
    connect: Duration::from_secs(5),
    wait: Duration::from_secs(15),
    max_body: 64 << 20,
};

/// Why there is no response from an entry.
#[derive(Debug)]
enum AskError {
    /// The key file cannot be read, which was reported already.
    Key(ExitCode),
    /// The key or an argument cannot be sent.
    Unsendable(&'static str),
    /// No connection was established, so nothing was sent.
    Unreached,
    /// The response is missing, incomplete or not JSON; the request may have been processed.
    Lost,
}

impl AskError {
    /// Prints the error and returns the exit code, which is `lost_code` for [`AskError::Lost`].
    fn report(self, lost_code: u8) -> ExitCode {
        match self {
            AskError::Key(code) => code,
            AskError::Unsendable(what) => {
                eprintln!("{what} cannot be sent; nothing was sent");
                ExitCode::from(EXIT_FAILED)
            }
            AskError::Unreached => {
                eprintln!("cannot connect to the entry; nothing was sent");
                ExitCode::from(EXIT_FAILED)
            }
            AskError::Lost => {
                eprintln!("no complete response from the entry");
                ExitCode::from(lost_code)
            }
        }
    }
}

fn request(
    entry: SocketAddr,
    key: &Path,
    path: &str,
    body: Option<String>,
) -> Result<(u16, Value), AskError> {
    let key = read_file(key).map_err(AskError::Key)?;
    let (method, body) = match body {
        Some(text) => (Method::POST, Bytes::from(text)),
        None => (Method::GET, Bytes::new()),
    };
    let content = (method == Method::POST).then_some("text/plain; charset=utf-8");
    let auth = HeaderValue::from_str(&format!("Bearer {}", key.trim()));
    let head = h1::request_head(entry, method, &format!("/admin/{path}"), content);
    let mut head = head.ok_or(AskError::Unsendable("the request"))?;
    let auth = auth.map_err(|_| AskError::Unsendable("the operator's key"))?;
    head.headers.insert(AUTHORIZATION, auth);
    actix_rt::System::new().block_on(async move {
        let fetched = h1::fetch(entry, &LIMITS, &ServiceConfig::default(), head, body).await;
        let (head, bytes) = fetched.map_err(|e| match e {
            FetchError::Unsent(_) => AskError::Unreached,
            FetchError::Broken(_) | FetchError::Slow => AskError::Lost,
        })?;
        let value = serde_json::from_slice(&bytes).map_err(|_| AskError::Lost)?;
        Ok((head.status.as_u16(), value))
    })
}

fn report_refusal(value: &Value) -> ExitCode {
    eprintln!("refused: {}", value["detail"].as_str().unwrap_or("no detail given"));
    ExitCode::from(EXIT_REFUSED)
}

/// Submits a configuration and prints the outcome.
pub fn submit(args: &SubmitArgs) -> ExitCode {
    let text = match read_file(&args.file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let path = format!("intent?from={}", args.from);
    let (_, value) = match request(args.entry.0, &args.key, &path, Some(text)) {
        Ok(response) => response,
        Err(e) => return e.report(EXIT_UNKNOWN),
    };
    match value["result"].as_str() {
        Some("accepted") => {
            println!("accepted as version {}", value["version"]);
            ExitCode::SUCCESS
        }
        Some("conflict") => {
            let newest = &value["newest"];
            eprintln!(
                "conflict: version {} by {} was submitted first; print it with `show` and edit that",
                newest["version"],
                newest["who"].as_str().unwrap_or("?")
            );
            ExitCode::from(EXIT_REFUSED)
        }
        Some("not-written") => {
            eprintln!("nothing was stored ({}); submit the same file again", value["why"]);
            ExitCode::from(EXIT_FAILED)
        }
        Some("unknown") => {
            eprintln!("the outcome is unknown; submit the same file again to find out");
            ExitCode::from(EXIT_UNKNOWN)
        }
        _ => report_refusal(&value),
    }
}

/// Prints a version of the configuration.
pub fn show(args: &ShowArgs) -> ExitCode {
    let path = match args.version {
        Some(n) => format!("intent?version={n}"),
        None => "intent".into(),
    };
    match request(args.entry.0, &args.key, &path, None) {
        Ok((200, v)) => {
            eprintln!("version {}", v["version"]);
            if let Some(who) = v["who"].as_str() {
                eprintln!("submitted by {who} at {} s", v["when"]);
            }
            print!("{}", v["text"].as_str().unwrap_or(""));
            ExitCode::SUCCESS
        }
        Ok((_, v)) => report_refusal(&v),
        Err(e) => e.report(EXIT_FAILED),
    }
}

/// Prints the entries and endpoints that an entry knows, with their configuration versions.
pub fn status(args: &StatusArgs) -> ExitCode {
    match request(args.entry.0, &args.key, "status", None) {
        Ok((200, v)) => {
            println!("{:<16} {:>7}  state", "instance", "version");
            println!("{:<16} {:>7}  asked", v["instance"].as_str().unwrap_or(""), v["version"]);
            let empty = Vec::new();
            for x in v["entries"].as_array().unwrap_or(&empty) {
                println!("{:<16} {:>7}", x["instance"].as_str().unwrap_or(""), x["version"]);
            }
            for x in v["endpoints"].as_array().unwrap_or(&empty) {
                print_endpoint(x);
            }
            ExitCode::SUCCESS
        }
        Ok((_, v)) => report_refusal(&v),
        Err(e) => e.report(EXIT_FAILED),
    }
}

fn print_endpoint(x: &Value) {
    let state = match (x["serving"].as_bool(), x["ejected"].as_bool()) {
        (Some(true), Some(true)) => "ejected",
        (Some(true), _) => "serving",
        _ => "not serving",
    };
    println!(
        "{:<16} {:>7}  {state} pool={} running={} waiting={} memory={}/{} loaded={}",
        x["instance"].as_str().unwrap_or(""),
        x["version"],
        x["pool"].as_str().unwrap_or("?"),
        x["running"],
        x["waiting"],
        x["forecast"],
        x["capacity"],
        x["loaded"],
    );
}

/// Prints the events of all processes in causal order.
pub fn timeline(args: &TimelineArgs) -> ExitCode {
    let mut path = String::from("timeline?");
    if let Some(s) = &args.subject {
        path += &format!("subject={}&", query_value(s));
    }
    if let Some(k) = &args.kind {
        path += &format!("kind={}", query_value(k));
    }
    match request(args.entry.0, &args.key, &path, None) {
        Ok((200, v)) => {
            for line in v["events"].as_array().into_iter().flatten() {
                println!("{}", line.as_str().unwrap_or(""));
            }
            if v["missing"].as_u64().is_some_and(|n| n > 0) {
                eprintln!("{} processes did not respond; their events are missing", v["missing"]);
            }
            ExitCode::SUCCESS
        }
        Ok((_, v)) => report_refusal(&v),
        Err(e) => e.report(EXIT_FAILED),
    }
}
