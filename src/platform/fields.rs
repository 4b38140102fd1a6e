//! Reads JSON objects of which single fields may be missing or of another type.

pub use crate::json::{read_lenient, whole};

use super::time;
use crate::id::IdError;
use crate::route::TableFault;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::time::Duration;

/// Reads the entries of a list; `None` if it is none. Entries that are no objects are faults.
pub fn entries(
    list: Option<&RawValue>,
    place: &'static str,
    faults: &mut Vec<TableFault>,
) -> Option<Vec<Map<String, Value>>> {
    let Some(list) = list else { return Some(Vec::new()) };
    let all: Vec<&RawValue> = serde_json::from_str(list.get()).ok()?;
    let mut read = Vec::new();
    for (ix, entry) in all.into_iter().enumerate() {
        match read_lenient(entry) {
            Value::Object(object) if entry.get().starts_with('{') => read.push(object),
            _ => {
                faults.push(TableFault { place, entry: ix.to_string().into(), field: "" });
            }
        }
    }
    Some(read)
}

/// Reads the fields of one object. What cannot be read counts as absent, and as a fault.
#[derive(Debug)]
pub struct Fields<'a> {
    object: &'a Map<String, Value>,
    place: &'static str,
    entry: String,
    faults: &'a mut Vec<TableFault>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of an object in `place`, where `entry` names it.
    pub fn new(
        object: &'a Map<String, Value>,
        place: &'static str,
        entry: &str,
        faults: &'a mut Vec<TableFault>,
    ) -> Self {
        Fields { object, place, entry: entry.into(), faults }
    }

    /// Records that a field cannot be read.
    pub fn fault(&mut self, field: &'static str) {
        self.faults.push(TableFault {
            place: self.place,
            entry: self.entry.as_str().into(),
            field,
        });
    }

    /// Returns a field that is there and not null.
    pub fn value(&self, field: &str) -> Option<&'a Value> {
        self.object.get(field).filter(|v| !v.is_null())
    }

    /// Returns what `read` makes of an optional field.
    pub fn optional<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Option<T> {
        let found = read(self.value(field)?);
        if found.is_none() {
            self.fault(field);
        }
        found
    }

    /// Returns what `read` makes of a field that has to be there.
    pub fn required<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Option<T> {
        if self.value(field).is_none() {
            self.fault(field);
        }
        self.optional(field, read)
    }

    /// Returns an optional field that is true or false; false if it is absent.
    pub fn flag(&mut self, field: &'static str) -> bool {
        self.optional(field, Value::as_bool).unwrap_or_default()
    }
}

/// Reads a whole number, as [`whole`] does.
pub fn read_whole<'de, D: Deserializer<'de>, N: TryFrom<u64>>(from: D) -> Result<N, D::Error> {
    let number = whole(&Value::deserialize(from)?);
    number.ok_or_else(|| D::Error::custom("no whole number of its range"))
}

/// Reads a whole number that may be null.
pub fn read_optional_whole<'de, D: Deserializer<'de>, N: TryFrom<u64>>(
    from: D,
) -> Result<Option<N>, D::Error> {
    let value: Option<Value> = Deserialize::deserialize(from)?;
    value.map(read_whole).transpose().map_err(D::Error::custom)
}

/// Returns a number of milliseconds as a time.
pub fn millis(value: &Value) -> Option<Duration> {
    value.as_f64().and_then(time::millis)
}

/// Returns a name that the operators chose.
pub fn name<T>(parse: impl Fn(&str) -> Result<T, IdError>) -> impl Fn(&Value) -> Option<T> {
    move |value| parse(value.as_str()?).ok()
}
