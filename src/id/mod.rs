//! Newtypes for names, counts and versions, with conversion to and from text.

use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

/// Length limit of names in the configuration and settings.
const MAX_NAME_BYTES: usize = 64;
/// Length limit of identifiers chosen by other systems.
const MAX_LABEL_BYTES: usize = 200;

/// Why a string is not a valid name, number or key.
#[derive(Debug, Clone, PartialEq)]
pub enum IdError {
    /// The name is empty or exceeds the length limit of its kind; holds its length in bytes.
    Length(usize),
    /// The name contains a character that is not allowed in its kind.
    Character(char),
    /// A numeric part is not a number of the expected range.
    Number(ParseIntError),
    /// The prefix, a separator or a part is missing.
    Shape,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Length(n) => write!(f, "invalid length of {n} bytes"),
            IdError::Character(c) => write!(f, "invalid character {c:?} in name"),
            IdError::Number(e) => write!(f, "{e}"),
            IdError::Shape => write!(f, "identifier does not have the expected format"),
        }
    }
}

/// Parses a name of 1 to [`MAX_NAME_BYTES`] characters `a-z`, `0-9`, `.`, `_` and `-`.
fn parse_name(s: &str) -> Result<Arc<str>, IdError> {
    if s.is_empty() || s.len() > MAX_NAME_BYTES {
        return Err(IdError::Length(s.len()));
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    match s.chars().find(|c| !is_allowed(*c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(Arc::from(s)),
    }
}

/// Parses a label of 1 to [`MAX_LABEL_BYTES`] visible ASCII characters.
fn parse_label(s: &str) -> Result<Arc<str>, IdError> {
    if s.is_empty() || s.len() > MAX_LABEL_BYTES {
        return Err(IdError::Length(s.len()));
    }
    match s.chars().find(|c| !c.is_ascii_graphic()) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(Arc::from(s)),
    }
}

/// Parses a text of 1 to [`MAX_LABEL_BYTES`] bytes that a header can carry: without control characters,
/// and without a blank at its ends.
fn parse_text(s: &str) -> Result<Arc<str>, IdError> {
    if s.is_empty() || s.len() > MAX_LABEL_BYTES {
        return Err(IdError::Length(s.len()));
    }
    let ends = s.chars().next().into_iter().chain(s.chars().next_back());
    match s.chars().find(|c| c.is_control()).or(ends.into_iter().find(|c| c.is_whitespace())) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(Arc::from(s)),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $parse:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "Arc<str>")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Parses an identifier that another system chose, of any visible ASCII characters.
            ///
            /// # Errors
            ///
            /// Returns [`IdError`] if the length or a character is not allowed.
            pub fn from_label(s: &str) -> Result<Self, IdError> {
                parse_label(s).map($name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<Arc<str>> for $name {
            type Error = IdError;

            /// Checks an identifier that is decoded; another process may have read it as a label.
            fn try_from(s: Arc<str>) -> Result<Self, IdError> {
                $parse(&s).or_else(|_| parse_label(&s)).map($name)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            /// Parses an identifier of this kind.
            ///
            /// # Errors
            ///
            /// Returns [`IdError`] if the length or a character is not allowed.
            fn from_str(s: &str) -> Result<Self, IdError> {
                $parse(s).map($name)
            }
        }
    };
}

text_id! {
    /// Identifies a service of the configuration.
    ServiceName, parse_name
}
text_id! {
    /// Identifies a workspace, the unit of fair sharing and the scope of API and idempotency keys.
    Workspace, parse_text
}
text_id! {
    /// Identifies a data centre.
    DataCentre, parse_name
}
text_id! {
    /// Identifies an instance and the only process of this system that runs on it.
    InstanceId, parse_name
}
text_id! {
    /// Identifies a model, an adapter or a version of either.
    ModelName, parse_name
}

text_id! {
    /// Identifies one run of an endpoint; chosen by the endpoint.
    EndpointId, parse_label
}
text_id! {
    /// Identifies one attempt of a request; chosen by the caller.
    RequestId, parse_label
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

            /// Parses a decimal number.
            ///
            /// # Errors
            ///
            /// Returns [`IdError::Number`] if the string is not a number or is out of range.
            fn from_str(s: &str) -> Result<Self, IdError> {
                s.parse().map($name).map_err(IdError::Number)
            }
        }
    };
}

number! {
    /// A number of tokens.
    Tokens, u32
}
number! {
    /// Version of the configuration, counted from 1; 0 stands for none.
    IntentVersion, u64
}
number! {
    /// Fencing token of the leader lease. It grows with each leader. Sidecars, and engines that
    /// check it, refuse orders with a lower one.
    Fence, u64
}
number! {
    /// Number of a period in a sidecar's ledger of non-idempotent calls.
    Epoch, u32
}

number! {
    /// Processing power, in thousandths of a core.
    MilliCores, u32
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Creates a random identifier.
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

            /// Parses 1 to 16 hexadecimal digits.
            ///
            /// # Errors
            ///
            /// Returns [`IdError::Number`] if the string is not a hexadecimal number of 64 bits.
            fn from_str(s: &str) -> Result<Self, IdError> {
                u64::from_str_radix(s, 16).map($name).map_err(IdError::Number)
            }
        }
    };
}

hex_id! {
    /// Identifies one run of a process; each start uses a new random value.
    Incarnation
}
hex_id! {
    /// Random value that distinguishes generations, links and tickets of one process.
    Nonce
}
hex_id! {
    /// Hash of the content of a request, independent of its idempotency key.
    Fingerprint
}
hex_id! {
    /// Identifies a part of a prompt that several requests may share.
    PartId
}

impl PartId {
    /// Returns the part with this name: the number that it spells in hexadecimal, or the hash of
    /// any other text.
    pub fn of(name: &str) -> Self {
        name.parse().unwrap_or_else(|_| PartId(Fingerprint::of(&[name.as_bytes()]).0))
    }
}

impl Fingerprint {
    /// Hashes the parts of a request that determine what an endpoint computes.
    ///
    /// Each part is preceded by its length, so that moving a boundary changes the hash.
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

/// Identifies a generation and the sidecar incarnation that holds its tokens.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GenerationId {
    /// Instance of the sidecar that runs the generation.
    pub instance: InstanceId,
    /// Incarnation of that sidecar.
    pub incarnation: Incarnation,
    /// Chosen at random by the entry that starts the generation.
    pub nonce: Nonce,
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}", self.instance, self.incarnation, self.nonce)
    }
}

impl FromStr for GenerationId {
    type Err = IdError;

    /// Parses the instance, incarnation and nonce, separated by `~`.
    ///
    /// # Errors
    ///
    /// Returns [`IdError`] if a part is missing or malformed.
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

/// Identifies a token of a generation; used as the id of server-sent events.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenId {
    /// Generation that produced the token.
    pub generation: GenerationId,
    /// Index of the token in the generation, from 0.
    pub ix: u32,
}

impl TokenId {
    /// Returns the index of the next token; the highest index, which no token has, follows itself.
    pub fn next_ix(&self) -> u32 {
        self.ix.saturating_add(1)
    }
}

impl fmt::Display for TokenId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.generation, self.ix)
    }
}

impl FromStr for TokenId {
    type Err = IdError;

    /// Parses a generation and an index, separated by `:`.
    ///
    /// # Errors
    ///
    /// Returns [`IdError`] if either part is missing or malformed.
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
    fn names_reject_path_separators_and_empty_strings() {
        assert_eq!("a/b".parse::<ServiceName>(), Err(IdError::Character('/')));
        assert_eq!("".parse::<ServiceName>(), Err(IdError::Length(0)));
    }

    proptest! {
        #[test]
        fn token_id_round_trips_through_text(name in "[a-z0-9._-]{1,64}", a: u64, b: u64, ix: u32) {
            let generation = GenerationId {
                instance: name.parse().unwrap(),
                incarnation: Incarnation(a),
                nonce: Nonce(b),
            };
            let id = TokenId { generation, ix };
            prop_assert_eq!(id.to_string().parse::<TokenId>(), Ok(id));
        }

        #[test]
        fn parsing_arbitrary_text_does_not_panic(s in ".{0,80}") {
            let _ = s.parse::<TokenId>();
        }
    }
}
