//! Text from outside, encoded for where it is written.

use actix_http::header::HeaderValue;
use percent_encoding::{AsciiSet, CONTROLS, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use std::borrow::Cow;
use std::fmt::{self, Display};

/// Bytes that are encoded in a part of a request target: all but the unreserved ones of RFC 3986, and
/// the slash, which has no other meaning in a query.
const QUERY: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

/// Bytes that are encoded in a segment of a path: all that RFC 3986 does not allow there.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'!')
    .remove(b'$')
    .remove(b'&')
    .remove(b'\'')
    .remove(b'(')
    .remove(b')')
    .remove(b'*')
    .remove(b'+')
    .remove(b',')
    .remove(b';')
    .remove(b'=')
    .remove(b':')
    .remove(b'@');

/// Bytes that are encoded in a target whose parts are separated already.
const TARGET: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// Encodes a value for the query of a request target.
///
/// # Examples
///
/// ```
/// use skylarkthread::escape::query_value;
///
/// assert_eq!(query_value("op/a&b=+%").to_string(), "op/a%26b%3D%2B%25");
/// ```
pub fn query_value(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, QUERY)
}

/// Encodes a value for a segment of the path of a request target.
pub fn path_segment(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, SEGMENT)
}

/// Returns a configured path as the target of a request. It may have a query, and encoded bytes already.
pub fn target(path: &str) -> String {
    let slash = if path.starts_with('/') { "" } else { "/" };
    format!("{slash}{}", utf8_percent_encode(path, TARGET))
}

/// Returns a text as the value of a header; `None` if its receiver would not read the same text.
pub fn header_value(text: &str) -> Option<HeaderValue> {
    let is_kept = !text.is_empty() && text.trim_matches([' ', '\t']) == text;
    HeaderValue::from_bytes(text.as_bytes()).ok().filter(|_| is_kept)
}

/// A value in a line of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogValue<'a>(&'a str);

impl Display for LogValue<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogValue(text) = self;
        let is_plain = |c: char| is_shown(c) && !c.is_whitespace() && !"\"=\\".contains(c);
        match !text.is_empty() && text.chars().all(is_plain) {
            true => f.write_str(text),
            false => write!(f, "{text:?}"),
        }
    }
}

/// Returns a value as it is written in a line of the log: as it is, or in quotes if it would not be
/// read as one value otherwise.
///
/// # Examples
///
/// ```
/// use skylarkthread::escape::log_value;
///
/// assert_eq!(log_value("10.0.0.1:80").to_string(), "10.0.0.1:80");
/// assert_eq!(log_value("a b=\n").to_string(), r#""a b=\n""#);
/// ```
pub fn log_value(text: &str) -> LogValue<'_> {
    LogValue(text)
}

/// Escapes the characters that would end a line or change how it is shown.
pub fn line(text: &str) -> Cow<'_, str> {
    if text.chars().all(is_shown) {
        return Cow::Borrowed(text);
    }
    let escape = |c: char| if is_shown(c) { String::from(c) } else { c.escape_debug().collect() };
    Cow::Owned(text.chars().map(escape).collect())
}

/// Returns whether a character is shown as itself.
fn is_shown(c: char) -> bool {
    c == ' ' || c.is_ascii_graphic() || c.escape_debug().len() == 1
}
