//! Newtypes for names, counts and versions, each with its text form.

use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

/// Longest name in bytes.
const NAME_LIMIT: usize = 64;
/// Longest label chosen by another system, in bytes.
const LABEL_LIMIT: usize = 200;

/// Tells why a text is no valid name, number or key.
#[derive(Debug, Clone, PartialEq)]
pub enum IdError {
    /// The name is empty or over 64 bytes.
    Length(usize),
    /// The name holds a character outside `a-z`, `0-9`, `.`, `_` and `-`.
    Character(char),
    /// A number in the text does not parse.
    Number(ParseIntError),
    /// The text lacks a part or has one too many.
    Shape,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Length(n) => write!(f, "{n} bytes is not a length allowed here"),
            IdError::Character(c) => write!(f, "{c:?} may not stand in a name"),
            IdError::Number(e) => write!(f, "{e}"),
            IdError::Shape => write!(f, "the parts do not fit this kind of identifier"),
        }
    }
}

/// Reads 1 to 64 bytes of `a-z`, `0-9`, `.`, `_` and `-`.
fn scan_name(s: &str) -> Result<Arc<str>, IdError> {
    if s.is_empty() || s.len() > NAME_LIMIT {
        return Err(IdError::Length(s.len()));
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    match s.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(Arc::from(s)),
    }
}

/// Reads 1 to 200 visible ASCII characters.
fn scan_label(s: &str) -> Result<Arc<str>, IdError> {
    if s.is_empty() || s.len() > LABEL_LIMIT {
        return Err(IdError::Length(s.len()));
    }
    match s.chars().find(|c| !c.is_ascii_graphic()) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(Arc::from(s)),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $scan:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            /// Reads a name of this kind.
            ///
            /// # Errors
            ///
            /// Returns [`IdError`] where the length or a character is not allowed.
            fn from_str(s: &str) -> Result<Self, IdError> {
                $scan(s).map($name)
            }
        }
    };
}

text_id! {
    /// Names a service of the operators' text.
    ServiceName, scan_name
}
text_id! {
    /// Names a workspace, the unit of fairness and of keys.
    Workspace, scan_name
}
text_id! {
    /// Names a data centre.
    DataCentre, scan_name
}
text_id! {
    /// Names an instance, and with it the one process of the system on it.
    InstanceId, scan_name
}
text_id! {
    /// Names a model, an adapter or a version of either.
    ModelName, scan_name
}

text_id! {
    /// Names one start of an endpoint, as the endpoint chose it.
    EndpointId, scan_label
}
text_id! {
    /// Names one attempt of a caller, as the caller chose it.
    RequestId, scan_label
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            /// Reads a whole number.
            ///
            /// # Errors
            ///
            /// Returns [`IdError::Number`] where the text is no number of this size.
            fn from_str(s: &str) -> Result<Self, IdError> {
                s.parse().map($name).map_err(IdError::Number)
            }
        }
    };
}

number! {
    /// Counts tokens.
    Tokens, u32
}
number! {
    /// Counts versions of the operators' text, from 1.
    IntentVersion, u64
}
number! {
    /// Orders the holders of the leader lease; engines refuse lower numbers.
    Fence, u64
}
number! {
    /// Counts the periods of a sidecar's record of calls.
    Epoch, u32
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Draws a new random identifier.
            pub fn random() -> Self {
                $name(rand::rng().random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            /// Reads 1 to 16 hexadecimal digits.
            ///
            /// # Errors
            ///
            /// Returns [`IdError::Number`] where the text is no such number.
            fn from_str(s: &str) -> Result<Self, IdError> {
                u64::from_str_radix(s, 16).map($name).map_err(IdError::Number)
            }
        }
    };
}

hex_id! {
    /// Names one run of a process; a restart draws a new one.
    Incarnation
}
hex_id! {
    /// Tells apart what one process made.
    Nonce
}
hex_id! {
    /// Names the content of a request, whatever its key.
    Fingerprint
}

impl Fingerprint {
    /// Hashes the parts of a request that an endpoint computes on.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut h = Sha256::new();
        for p in parts {
            h.update((p.len() as u64).to_le_bytes());
            h.update(p);
        }
        let d = h.finalize();
        Fingerprint(u64::from_le_bytes([d[0], d[1], d[2], d[3], d[4], d[5], d[6], d[7]]))
    }
}

/// Names one generation and the one sidecar incarnation that holds its tokens.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GenerationId {
    /// Instance of the sidecar.
    pub instance: InstanceId,
    /// Run of that sidecar.
    pub incarnation: Incarnation,
    /// Drawn by the entry that starts the generation.
    pub nonce: Nonce,
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}", self.instance, self.incarnation, self.nonce)
    }
}

impl FromStr for GenerationId {
    type Err = IdError;

    /// Reads the three parts with `~` between them.
    ///
    /// # Errors
    ///
    /// Returns [`IdError`] where a part is missing or malformed.
    fn from_str(s: &str) -> Result<Self, IdError> {
        let mut parts = s.splitn(3, '~');
        let mut part = || parts.next().ok_or(IdError::Shape);
        Ok(GenerationId {
            instance: part()?.parse()?,
            incarnation: part()?.parse()?,
            nonce: part()?.parse()?,
        })
    }
}

/// Names one token of one generation; the id of a server-sent event.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenId {
    /// Generation of the token.
    pub generation: GenerationId,
    /// Place of the token, from 0.
    pub ix: u32,
}

impl fmt::Display for TokenId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.generation, self.ix)
    }
}

impl FromStr for TokenId {
    type Err = IdError;

    /// Reads a generation, `:` and an index.
    ///
    /// # Errors
    ///
    /// Returns [`IdError`] where either part is missing or malformed.
    fn from_str(s: &str) -> Result<Self, IdError> {
        let (generation, ix) = s.rsplit_once(':').ok_or(IdError::Shape)?;
        Ok(TokenId { generation: generation.parse()?, ix: ix.parse().map_err(IdError::Number)? })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn names_refuse_what_a_path_could_misread() {
        assert_eq!("a/b".parse::<ServiceName>(), Err(IdError::Character('/')));
        assert_eq!("".parse::<ServiceName>(), Err(IdError::Length(0)));
    }

    proptest! {
        #[test]
        fn token_ids_survive_their_text_form(name in "[a-z0-9._-]{1,64}", a: u64, b: u64, ix: u32) {
            let generation = GenerationId {
                instance: name.parse().unwrap(),
                incarnation: Incarnation(a),
                nonce: Nonce(b),
            };
            let id = TokenId { generation, ix };
            prop_assert_eq!(id.to_string().parse::<TokenId>(), Ok(id));
        }

        #[test]
        fn any_text_parses_or_fails_without_a_panic(s in ".{0,80}") {
            let _ = s.parse::<TokenId>();
        }
    }
}
