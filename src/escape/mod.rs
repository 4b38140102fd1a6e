//! Text from outside, encoded for where it is written.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// Bytes that are encoded in a part of a request target: all but the unreserved ones of RFC 3986, and
/// the slash, which has no other meaning in a query.
const QUERY: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

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
