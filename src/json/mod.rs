//! Reads JSON of other programs, of which parts may be of another type or out of range.

use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Number up to which each whole one has a float of its own.
const MAX_WHOLE_FLOAT: f64 = 9_007_199_254_740_992.0;

/// Levels of lists and objects in an entry of which the parts that can be read are kept.
const MAX_DEPTH: usize = 3;

/// Reads a value. Parts of it that cannot be read, such as a number that no float holds, become empty
/// objects, which no field that is read is.
pub fn read_lenient(text: &RawValue) -> Value {
    read_level(text.get(), MAX_DEPTH)
}

fn read_level(text: &str, depth: usize) -> Value {
    match serde_json::from_str(text) {
        Ok(value) => return value,
        Err(_) if depth == 0 => return Value::Object(Map::new()),
        Err(_) => {}
    }
    let depth = depth - 1;
    if let Ok(list) = serde_json::from_str::<Vec<&RawValue>>(text) {
        return list.into_iter().map(|part| read_level(part.get(), depth)).collect();
    }
    let object = serde_json::from_str::<BTreeMap<String, &RawValue>>(text).unwrap_or_default();
    let fields = object.into_iter().map(|(name, part)| (name, read_level(part.get(), depth)));
    Value::Object(fields.collect())
}

/// Returns a whole number, also one that is written with a point.
pub fn whole<N: TryFrom<u64>>(value: &Value) -> Option<N> {
    let is_whole = |n: &f64| n.fract() == 0.0 && (0.0..=MAX_WHOLE_FLOAT).contains(n);
    let number = value.as_u64().or_else(|| value.as_f64().filter(is_whole).map(|n| n as u64));
    number?.try_into().ok()
}
