//! Reads JSON with comments and reports each fault with its line and column.

use crate::id::IdError;
use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// What is wrong at one place of a document.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// The document is no JSON with comments.
    Syntax(Box<str>),
    /// A value has the wrong type.
    Type(&'static str),
    /// A field is not known here.
    UnknownField(Box<str>),
    /// A field stands twice.
    Duplicate(Box<str>),
    /// A required field is missing.
    Missing(&'static str),
    /// A number lies outside its range.
    Range(u64, u64),
    /// A name or value does not parse.
    Name(IdError),
    /// A word is none of those allowed.
    NotOneOf(&'static str),
    /// A service depends on one that is not listed.
    UnknownService(Box<str>),
    /// Services depend on each other in a circle.
    Cycle(Box<str>),
    /// A field does not fit the kind of the service.
    Misplaced(&'static str),
    /// A list or the document is longer than allowed.
    TooMany(usize),
    /// A key hash is not 64 hexadecimal digits, or serves two workspaces.
    KeyHash,
    /// A pattern of operations is malformed.
    Operation,
    /// An address is malformed.
    Address,
    /// Values are nested deeper than allowed.
    Depth(usize),
}

impl FaultKind {
    /// Returns the number under which the operators' page explains the fault.
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
            FaultKind::Syntax(s) => write!(f, "syntax: {s}"),
            FaultKind::Type(s) => write!(f, "expected {s}"),
            FaultKind::UnknownField(s) => write!(f, "unknown field {s:?}"),
            FaultKind::Duplicate(s) => write!(f, "{s:?} stands twice"),
            FaultKind::Missing(s) => write!(f, "missing field {s:?}"),
            FaultKind::Range(a, b) => write!(f, "expected a whole number from {a} to {b}"),
            FaultKind::Name(e) => write!(f, "{e}"),
            FaultKind::NotOneOf(s) => write!(f, "expected one of {s}"),
            FaultKind::UnknownService(s) => write!(f, "no service is named {s:?}"),
            FaultKind::Cycle(s) => write!(f, "services depend on each other: {s}"),
            FaultKind::Misplaced(s) => write!(f, "{s:?} does not fit this kind of service"),
            FaultKind::TooMany(n) => write!(f, "more than {n} are not allowed"),
            FaultKind::KeyHash => write!(f, "expected an unused SHA-256 of 64 hexadecimal digits"),
            FaultKind::Operation => {
                write!(f, "expected a method and a path such as \"POST /holds\"")
            }
            FaultKind::Address => write!(f, "expected an IP number and a port"),
            FaultKind::Depth(n) => write!(f, "values are nested deeper than {n} levels"),
        }
    }
}

/// One fault and its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: E{:03} {}", self.line, self.column, self.kind.code(), self.kind)
    }
}

/// Deepest nesting of a document.
pub const MAX_DEPTH: usize = 64;

/// Returns the place at which values are nested too deep, if there is one.
///
/// Brackets in strings and comments do not count; a document with an open string or comment is
/// left to the parser, which names that fault.
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

/// Returns the place after a string that begins at `at`.
fn skip_string(bytes: &[u8], at: usize, quote: u8) -> usize {
    let mut at = at + 1;
    while at < bytes.len() && bytes[at] != quote {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at + 1
}

/// Returns the place after the next `end`, or the end of the document.
fn skip_past(bytes: &[u8], at: usize, end: &[u8]) -> usize {
    let rest = bytes.get(at..).unwrap_or_default();
    let found = rest.windows(end.len()).position(|w| w == end);
    found.map_or(bytes.len(), |n| at + n + end.len())
}

/// Walks one document and collects its faults.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    faults: Vec<Fault>,
}

impl<'t> Reader<'t> {
    /// Parses `text` and hands its root to `read`, which may note more faults.
    ///
    /// # Errors
    ///
    /// Returns all faults, in order of their place, where there is at least one.
    pub fn read<T>(
        text: &'t str,
        read: impl FnOnce(&mut Self, &Value<'t>) -> Option<T>,
    ) -> Result<T, Vec<Fault>> {
        let mut reader = Reader { text, faults: Vec::new() };
        // The parser calls itself for each level, and a deep document would end the stack.
        if let Some(at) = find_excess_depth(text) {
            reader.report(at, FaultKind::Depth(MAX_DEPTH));
            return Err(reader.faults);
        }
        let value = match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
            Ok(parsed) => parsed.value.and_then(|v| read(&mut reader, &v)),
            Err(e) => {
                let what = e.kind().to_string().into_boxed_str();
                reader.report(e.range().start, FaultKind::Syntax(what));
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

    /// Notes a fault at a byte of the document.
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

    /// Takes a value as an object whose fields are all among `allowed`.
    pub fn object<'v>(&mut self, v: &'v Value<'t>, allowed: &[&str]) -> Option<&'v Object<'t>> {
        let o = self.map(v)?;
        for p in &o.properties {
            if !allowed.contains(&p.name.as_str()) {
                self.report(p.start(), FaultKind::UnknownField(p.name.as_str().into()));
            }
        }
        Some(o)
    }

    /// Takes a value as an object with free field names, each standing once.
    pub fn map<'v>(&mut self, v: &'v Value<'t>) -> Option<&'v Object<'t>> {
        let Some(o) = v.as_object() else {
            self.report(v.start(), FaultKind::Type("an object"));
            return None;
        };
        let mut seen = std::collections::HashSet::new();
        for p in &o.properties {
            if !seen.insert(p.name.as_str()) {
                self.report(p.start(), FaultKind::Duplicate(p.name.as_str().into()));
            }
        }
        Some(o)
    }

    /// Returns a field, or notes that it is missing.
    pub fn required<'v>(&mut self, o: &'v Object<'t>, name: &'static str) -> Option<&'v Value<'t>> {
        let found = o.get(name).map(|p| &p.value);
        if found.is_none() {
            self.report(o.start(), FaultKind::Missing(name));
        }
        found
    }

    /// Takes a value as a whole number within `range`.
    pub fn number(&mut self, v: &Value<'t>, range: RangeInclusive<u64>) -> Option<u64> {
        let n = v.as_number_lit().and_then(|n| n.value.parse().ok());
        let fits = n.filter(|n| range.contains(n));
        if fits.is_none() {
            self.report(v.start(), FaultKind::Range(*range.start(), *range.end()));
        }
        fits
    }

    /// Takes a field as a whole number, or `default` where it is left out.
    pub fn number_or(
        &mut self,
        o: &Object<'t>,
        name: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        o.get(name).and_then(|p| self.number(&p.value, range)).unwrap_or(default)
    }

    /// Takes a value as text.
    pub fn text<'v>(&mut self, v: &'v Value<'t>) -> Option<&'v str> {
        let s = v.as_string_lit().map(|s| s.value.as_ref());
        if s.is_none() {
            self.report(v.start(), FaultKind::Type("a string"));
        }
        s
    }

    /// Takes a value as a name.
    pub fn name<T: FromStr<Err = IdError>>(&mut self, v: &Value<'t>) -> Option<T> {
        let s = self.text(v)?;
        s.parse().map_err(|e| self.report(v.start(), FaultKind::Name(e))).ok()
    }

    /// Takes the name of a field as a name.
    pub fn key<T: FromStr<Err = IdError>>(&mut self, p: &ObjectProp<'t>) -> Option<T> {
        p.name.as_str().parse().map_err(|e| self.report(p.start(), FaultKind::Name(e))).ok()
    }

    /// Takes a field as a name, where it is present.
    pub fn optional_name<T: FromStr<Err = IdError>>(
        &mut self,
        o: &Object<'t>,
        name: &str,
    ) -> Option<T> {
        o.get(name).and_then(|p| self.name(&p.value))
    }

    /// Takes a field as an address, where it is present.
    pub fn address(&mut self, v: &Value<'t>) -> Option<std::net::SocketAddr> {
        let s = self.text(v)?;
        s.parse().map_err(|_| self.report(v.start(), FaultKind::Address)).ok()
    }

    /// Takes a field as a list of at most `most` values; empty where it is left out.
    pub fn list<'v>(&mut self, o: &'v Object<'t>, name: &str, most: usize) -> &'v [Value<'t>] {
        let Some(p) = o.get(name) else { return &[] };
        let Some(Array { elements, .. }) = p.value.as_array() else {
            self.report(p.value.start(), FaultKind::Type("a list"));
            return &[];
        };
        if elements.len() > most {
            self.report(p.start(), FaultKind::TooMany(most));
        }
        elements
    }
}
