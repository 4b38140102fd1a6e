//! Asks a gateway instance what would happen to a request, without sending it.

use super::args::ExplainArgs;
use super::{EXIT_FAILED, EXIT_REFUSED};
use crate::explain::{Explanation, Outcome};
use crate::h1::{self, CallLimits, FetchError};
use crate::id::Tokens;
use crate::platform::{Question, TokenCounts};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ServiceConfig};
use bytes::Bytes;
use serde_json::Value;
use std::process::ExitCode;
use std::time::Duration;

/// Bounds of a question to an instance.
const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(5), wait: Duration::from_secs(5), max_body: 4 << 20 };

/// Why there is no explanation.
#[derive(Debug)]
enum AskError {
    /// There is no whole answer from the instance.
    Unreached(FetchError),
    /// The response has an unexpected form.
    Lost,
    /// The instance cannot tell: no such route or key, or no configuration yet.
    Denied(Box<str>),
}

/// Prints where a request would go now, and why.
pub fn explain(args: &ExplainArgs) -> ExitCode {
    match ask(args) {
        Ok(explanation) => {
            if args.json {
                // Serialization of numbers and text cannot fail.
                println!("{}", serde_json::to_string(&explanation).unwrap_or_default());
            } else {
                println!("{explanation}");
            }
            match explanation.outcome {
                Outcome::Sent(_) | Outcome::Waits => ExitCode::SUCCESS,
                Outcome::Refused { .. } => ExitCode::from(EXIT_REFUSED),
            }
        }
        Err(AskError::Denied(detail)) => {
            eprintln!("not served: {detail}");
            ExitCode::from(EXIT_REFUSED)
        }
        Err(AskError::Unreached(e)) => {
            eprintln!("no answer from the instance at {}: {e}", args.instance.0);
            ExitCode::from(EXIT_FAILED)
        }
        Err(AskError::Lost) => {
            eprintln!("no complete answer from the instance at {}", args.instance.0);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn ask(args: &ExplainArgs) -> Result<Explanation, AskError> {
    let tokens = args.input.map(|input| TokenCounts {
        input: Tokens(input),
        max_output: Tokens(args.output),
        output_hint: args.hint.map(Tokens),
    });
    let question = Question {
        host: &args.host,
        path: &args.path,
        key: args.key.as_deref(),
        workspace: args.workspace.as_deref(),
        prefix: args.prefix.as_deref(),
        timeout: args.timeout.map(Duration::from_millis),
        tokens,
    };
    let (path, headers) = question.to_parts();
    let to = args.instance.0;
    let unsendable = || AskError::Denied("the question cannot be sent as a request".into());
    let mut head = h1::request_head(to, Method::GET, &path, None).ok_or_else(unsendable)?;
    insert_headers(&mut head, headers).ok_or_else(unsendable)?;
    actix_rt::System::new().block_on(async move {
        let config = ServiceConfig::default();
        let fetched = h1::fetch(to, &LIMITS, &config, head, Bytes::new()).await;
        let (head, body) = fetched.map_err(AskError::Unreached)?;
        if head.status.is_success() {
            return serde_json::from_slice(&body).map_err(|_| AskError::Lost);
        }
        let problem: Value = serde_json::from_slice(&body).map_err(|_| AskError::Lost)?;
        Err(AskError::Denied(problem["detail"].as_str().unwrap_or("no detail given").into()))
    })
}

fn insert_headers(head: &mut RequestHead, headers: Vec<(&'static str, String)>) -> Option<()> {
    for (name, value) in headers {
        head.headers.insert(HeaderName::from_static(name), HeaderValue::from_str(&value).ok()?);
    }
    Some(())
}
