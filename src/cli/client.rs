//! The operators' client of an entry.

use super::{Access, FAILED, REFUSED, Show, Submit, Timeline, UNKNOWN, read};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time for an entry to answer.
const WAIT: Duration = Duration::from_secs(15);
/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Tells why an entry gave no answer.
#[derive(Debug)]
enum AskError {
    Key(ExitCode),
    Unreached,
    Lost,
}

impl AskError {
    fn exit(self, lost: u8) -> ExitCode {
        match self {
            AskError::Key(code) => code,
            AskError::Unreached => {
                eprintln!("the entry cannot be reached; nothing was sent");
                ExitCode::from(FAILED)
            }
            AskError::Lost => {
                eprintln!("the entry gave no whole answer");
                ExitCode::from(lost)
            }
        }
    }
}

fn ask(
    entry: SocketAddr,
    key: &Path,
    path: &str,
    body: Option<String>,
) -> Result<(u16, Value), AskError> {
    let key = read(key).map_err(AskError::Key)?;
    let url = format!("http://{entry}/admin/{path}");
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::builder().timeout(WAIT).finish();
        let auth = ("authorization", format!("Bearer {}", key.trim()));
        let sent = match body {
            Some(text) => client.post(url).insert_header(auth).send_body(text).await,
            None => client.get(url).insert_header(auth).send().await,
        };
        let mut res = sent.map_err(|e| match e {
            awc::error::SendRequestError::Connect(_) => AskError::Unreached,
            _ => AskError::Lost,
        })?;
        let answer = res.body().limit(ANSWER_LIMIT).await.map_err(|_| AskError::Lost)?;
        let value = serde_json::from_slice(&answer).map_err(|_| AskError::Lost)?;
        Ok((res.status().as_u16(), value))
    })
}

fn refuse(value: &Value) -> ExitCode {
    eprintln!("refused: {}", value["detail"].as_str().unwrap_or("no reason given"));
    ExitCode::from(REFUSED)
}

/// Submits a text and tells what became of it.
pub fn submit(args: &Submit) -> ExitCode {
    let text = match read(&args.file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let path = format!("intent?from={}", args.from);
    let (_, value) = match ask(args.entry.0, &args.key, &path, Some(text)) {
        Ok(answer) => answer,
        Err(e) => return e.exit(UNKNOWN),
    };
    match value["result"].as_str() {
        Some("accepted") => {
            println!("accepted as version {}", value["version"]);
            ExitCode::SUCCESS
        }
        Some("conflict") => {
            let n = &value["newest"];
            eprintln!(
                "conflict: version {} by {} came first; see what changed with `show`, edit from it",
                n["version"],
                n["who"].as_str().unwrap_or("?")
            );
            ExitCode::from(REFUSED)
        }
        Some("not-written") => {
            eprintln!("this try wrote nothing ({}); submit the same text again", value["why"]);
            ExitCode::from(FAILED)
        }
        Some("unknown") => {
            eprintln!("the outcome is not known; submit the same text again to settle it");
            ExitCode::from(UNKNOWN)
        }
        _ => refuse(&value),
    }
}

/// Prints a version of the text.
pub fn show(args: &Show) -> ExitCode {
    let path = match args.version {
        Some(n) => format!("intent?version={n}"),
        None => "intent".into(),
    };
    match ask(args.entry.0, &args.key, &path, None) {
        Ok((200, v)) => {
            eprintln!("version {}", v["version"]);
            if let Some(who) = v["who"].as_str() {
                eprintln!("submitted by {who} at {} s", v["when"]);
            }
            print!("{}", v["text"].as_str().unwrap_or(""));
            ExitCode::SUCCESS
        }
        Ok((_, v)) => refuse(&v),
        Err(e) => e.exit(FAILED),
    }
}

/// Prints processes and endpoints.
pub fn status(args: &Access) -> ExitCode {
    match ask(args.entry.0, &args.key, "status", None) {
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
        Ok((_, v)) => refuse(&v),
        Err(e) => e.exit(FAILED),
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

/// Prints events in causal order.
pub fn timeline(args: &Timeline) -> ExitCode {
    let mut path = String::from("timeline?");
    if let Some(s) = &args.subject {
        path += &format!("subject={s}&");
    }
    if let Some(k) = &args.kind {
        path += &format!("kind={k}");
    }
    match ask(args.entry.0, &args.key, &path, None) {
        Ok((200, v)) => {
            for line in v["events"].as_array().into_iter().flatten() {
                println!("{}", line.as_str().unwrap_or(""));
            }
            if v["missing"].as_u64().is_some_and(|n| n > 0) {
                eprintln!("{} processes gave no answer", v["missing"]);
            }
            ExitCode::SUCCESS
        }
        Ok((_, v)) => refuse(&v),
        Err(e) => e.exit(FAILED),
    }
}
