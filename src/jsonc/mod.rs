//! Reads JSON with comments (JSONC) and reports each fault with its line and column.

use crate::id::IdError;
use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Kind of a fault in a document.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// The document is not valid JSONC; holds the parser's message.
    Syntax(Box<str>),
    /// A value has the wrong type or form; holds the expected one.
    Type(&'static str),
    /// An object has a field that is not defined for it.
    UnknownField(Box<str>),
    /// An object has the same field twice.
    Duplicate(Box<str>),
    /// A required field is missing.
    Missing(&'static str),
    /// A value is not an integer in this inclusive range.
    Range(u64, u64),
    /// A name is invalid.
    Name(IdError),
    /// A value is none of those allowed; holds the list of them.
    NotOneOf(&'static str),
    /// A service depends on one that is not defined.
    UnknownService(Box<str>),
    /// The dependencies of services form a cycle; holds its path.
    Cycle(Box<str>),
    /// A field is not allowed for the kind of its service.
    Misplaced(&'static str),
    /// A list, an object or the document is larger than this limit.
    TooMany(usize),
    /// A key hash is not 64 hexadecimal digits, or occurs twice among the workspaces.
    KeyHash,
    /// An operation is not a method and a path pattern.
    Operation,
    /// A value is not an IP address with a port.
    Address,
    /// Values are nested deeper than this limit.
    Depth(usize),
}

impl FaultKind {
    /// Returns the error code under which the operators' documentation explains the fault.
    pub fn code(&self) -> u16 {
        match self {
            FaultKind::Syntax(_) => 1,
            FaultKind::Type(_) => 2,
            FaultKind::UnknownField(_) => 3,
            FaultKind::Duplicate(_) => 4,
            FaultKind::Missing(_) => 5,
            FaultKind::Range(..) => 6,
            FaultKind::Name(_) => 7,
            FaultKind::NotOneOf(_) => 8,
            FaultKind::UnknownService(_) => 9,
            FaultKind::Cycle(_) => 10,
            FaultKind::Misplaced(_) => 11,
            FaultKind::TooMany(_) => 12,
            FaultKind::KeyHash => 13,
            FaultKind::Operation => 14,
            FaultKind::Address => 15,
            FaultKind::Depth(_) => 16,
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::Syntax(s) => write!(f, "syntax error: {s}"),
            FaultKind::Type(s) => write!(f, "expected {s}"),
            FaultKind::UnknownField(s) => write!(f, "unknown field {s:?}"),
            FaultKind::Duplicate(s) => write!(f, "duplicate field {s:?}"),
            FaultKind::Missing(s) => write!(f, "missing field {s:?}"),
            FaultKind::Range(a, b) => write!(f, "expected an integer from {a} to {b}"),
            FaultKind::Name(e) => write!(f, "{e}"),
            FaultKind::NotOneOf(s) => write!(f, "expected one of {s}"),
            FaultKind::UnknownService(s) => write!(f, "no service named {s:?}"),
            FaultKind::Cycle(s) => write!(f, "dependency cycle: {s}"),
            FaultKind::Misplaced(s) => {
                write!(f, "field {s:?} is not allowed for this kind of service")
            }
            FaultKind::TooMany(n) => write!(f, "size exceeds the limit of {n}"),
            FaultKind::KeyHash => {
                write!(f, "expected a unique SHA-256 hash of 64 hexadecimal digits")
            }
            FaultKind::Operation => {
                write!(f, "expected POST, PUT, PATCH or DELETE and a path, as in \"POST /holds\"")
            }
            FaultKind::Address => write!(f, "expected an IP address and a port"),
            FaultKind::Depth(n) => write!(f, "values are nested deeper than {n} levels"),
        }
    }
}

/// A fault and its position in the document.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: E{:03} {}", self.line, self.column, self.kind.code(), self.kind)
    }
}

/// Maximum nesting depth of a document.
pub const MAX_DEPTH: usize = 64;

/// Returns the byte offset of the first bracket that exceeds [`MAX_DEPTH`], if there is one.
///
/// Brackets in strings and comments do not count. An unterminated string or comment extends to the
/// end of the document; the parser reports it.
fn find_excess_depth(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let (mut at, mut depth) = (0, 0);
    while at < bytes.len() {
        match bytes[at] {
            quote @ (b'"' | b'\'') => at = skip_string(bytes, at, quote),
            b'/' if bytes.get(at + 1) == Some(&b'/') => at = skip_past(bytes, at, b"\n"),
            b'/' if bytes.get(at + 1) == Some(&b'*') => at = skip_past(bytes, at + 2, b"*/"),
            b'[' | b'{' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    return Some(at);
                }
                at += 1;
            }
            b']' | b'}' => {
                depth = depth.saturating_sub(1);
                at += 1;
            }
            _ => at += 1,
        }
    }
    None
}

/// Returns the offset after the string that starts at `at`.
fn skip_string(bytes: &[u8], at: usize, quote: u8) -> usize {
    let mut at = at + 1;
    while at < bytes.len() && bytes[at] != quote {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at + 1
}

/// Returns the offset after the next `end`, or the end of the document if there is none.
fn skip_past(bytes: &[u8], at: usize, end: &[u8]) -> usize {
    let rest = bytes.get(at..).unwrap_or_default();
    let found = rest.windows(end.len()).position(|w| w == end);
    found.map_or(bytes.len(), |n| at + n + end.len())
}

/// Reads values of one document and collects its faults.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    faults: Vec<Fault>,
}

impl<'t> Reader<'t> {
    /// Parses `text` and passes its root value to `read`, which may report more faults.
    ///
    /// # Errors
    ///
    /// Returns all faults, ordered by position, if there is at least one.
    pub fn read<T>(
        text: &'t str,
        read: impl FnOnce(&mut Self, &Value<'t>) -> Option<T>,
    ) -> Result<T, Vec<Fault>> {
        let mut reader = Reader { text, faults: Vec::new() };
        // The parser recurses once per level, so a deep document would overflow the stack.
        if let Some(at) = find_excess_depth(text) {
            reader.report(at, FaultKind::Depth(MAX_DEPTH));
            return Err(reader.faults);
        }
        let value = match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
            Ok(parsed) => parsed.value.and_then(|v| read(&mut reader, &v)),
            Err(e) => {
                let message = e.kind().to_string().into_boxed_str();
                reader.report(e.range().start, FaultKind::Syntax(message));
                None
            }
        };
        if value.is_none() && reader.faults.is_empty() {
            reader.report(0, FaultKind::Type("an object"));
        }
        reader.faults.sort_by_key(|f| (f.line, f.column));
        match value {
            Some(v) if reader.faults.is_empty() => Ok(v),
            _ => Err(reader.faults),
        }
    }

    /// Records a fault at a byte offset of the document.
    pub fn report(&mut self, byte: usize, kind: FaultKind) {
        let mut end = byte.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &self.text[..end];
        let start = before.rfind('\n').map_or(0, |n| n + 1);
        let line = before.matches('\n').count() + 1;
        self.faults.push(Fault { line, column: before[start..].chars().count() + 1, kind });
    }

    /// Returns a value as an object, and reports its fields that are not in `allowed`.
    pub fn object<'v>(&mut self, v: &'v Value<'t>, allowed: &[&str]) -> Option<&'v Object<'t>> {
        let o = self.map(v)?;
        for p in &o.properties {
            if !allowed.contains(&p.name.as_str()) {
                self.report(p.start(), FaultKind::UnknownField(p.name.as_str().into()));
            }
        }
        Some(o)
    }

    /// Returns a value as an object with any field names, and reports duplicate ones.
    pub fn map<'v>(&mut self, v: &'v Value<'t>) -> Option<&'v Object<'t>> {
        let Some(o) = v.as_object() else {
            self.report(v.start(), FaultKind::Type("an object"));
            return None;
        };
        let mut names = std::collections::HashSet::new();
        for p in &o.properties {
            if !names.insert(p.name.as_str()) {
                self.report(p.start(), FaultKind::Duplicate(p.name.as_str().into()));
            }
        }
        Some(o)
    }

    /// Returns the value of a field, and reports the field if it is missing.
    pub fn required<'v>(&mut self, o: &'v Object<'t>, name: &'static str) -> Option<&'v Value<'t>> {
        let found = o.get(name).map(|p| &p.value);
        if found.is_none() {
            self.report(o.start(), FaultKind::Missing(name));
        }
        found
    }

    /// Parses a value as an integer within `range`.
    pub fn number(&mut self, v: &Value<'t>, range: RangeInclusive<u64>) -> Option<u64> {
        let n = v.as_number_lit().and_then(|n| n.value.parse().ok());
        let fits = n.filter(|n| range.contains(n));
        if fits.is_none() {
            self.report(v.start(), FaultKind::Range(*range.start(), *range.end()));
        }
        fits
    }

    /// Parses a field as an integer within `range`; returns `default` if it is absent or invalid.
    pub fn number_or(
        &mut self,
        o: &Object<'t>,
        name: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        o.get(name).and_then(|p| self.number(&p.value, range)).unwrap_or(default)
    }

    /// Returns a value as a string.
    pub fn text<'v>(&mut self, v: &'v Value<'t>) -> Option<&'v str> {
        let s = v.as_string_lit().map(|s| s.value.as_ref());
        if s.is_none() {
            self.report(v.start(), FaultKind::Type("a string"));
        }
        s
    }

    /// Parses a string value as a name.
    pub fn name<T: FromStr<Err = IdError>>(&mut self, v: &Value<'t>) -> Option<T> {
        let s = self.text(v)?;
        s.parse().map_err(|e| self.report(v.start(), FaultKind::Name(e))).ok()
    }

    /// Parses the name of a field as a name.
    pub fn key<T: FromStr<Err = IdError>>(&mut self, p: &ObjectProp<'t>) -> Option<T> {
        p.name.as_str().parse().map_err(|e| self.report(p.start(), FaultKind::Name(e))).ok()
    }

    /// Parses a field as a name if it is present.
    pub fn optional_name<T: FromStr<Err = IdError>>(
        &mut self,
        o: &Object<'t>,
        name: &str,
    ) -> Option<T> {
        o.get(name).and_then(|p| self.name(&p.value))
    }

    /// Parses a string value as an IP address with a port.
    pub fn address(&mut self, v: &Value<'t>) -> Option<std::net::SocketAddr> {
        let s = self.text(v)?;
        s.parse().map_err(|_| self.report(v.start(), FaultKind::Address)).ok()
    }

    /// Returns the elements of a field, and reports the field if there are more than `max`.
    ///
    /// A field that is absent or not a list counts as empty.
    pub fn list<'v>(&mut self, o: &'v Object<'t>, name: &str, max: usize) -> &'v [Value<'t>] {
        let Some(p) = o.get(name) else { return &[] };
        let Some(Array { elements, .. }) = p.value.as_array() else {
            self.report(p.value.start(), FaultKind::Type("a list"));
            return &[];
        };
        if elements.len() > max {
            self.report(p.start(), FaultKind::TooMany(max));
        }
        elements
    }
}
