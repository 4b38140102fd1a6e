//! Keys and values that others write to the store, drawn from a seed.

use rand::Rng;
use rand::rngs::SmallRng;

/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Largest value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Beginnings before, between, behind and under the prefixes of the system.
const PREFIXES: [&str; 13] = [
    "",
    "a",
    "gateways",
    "gateways/",
    "h",
    "op",
    "op/",
    "op/evacuate/",
    "p",
    "quarantine/",
    "servers",
    "servers/",
    "z",
];
/// Characters with a meaning in a query or in JSON.
const SPECIAL: [char; 10] = ['%', '&', '+', '#', '=', '?', '/', '"', '\\', ' '];
/// Values that are JSON, or begin as JSON does.
const TEXTS: [&str; 6] = [
    "",
    "{}",
    "null",
    "[[[[[[",
    r#"{"address":"127.0.0.1:1","key":[],"power":-1}"#,
    r#"{"service":"plain","address":"x","zone":1,"slots":-1,"state":"ready"}"#,
];

/// Draws a key other than that of the configuration.
pub fn draw_key(rng: &mut SmallRng) -> String {
    let mut key = PREFIXES[rng.random_range(0..PREFIXES.len())].to_owned();
    let length = rng.random_range(1..=MAX_KEY_BYTES);
    while key.len() < length {
        let c = match rng.random_range(0..4) {
            0 => char::from(rng.random_range(0..128_u8)),
            1 => SPECIAL[rng.random_range(0..SPECIAL.len())],
            2 => char::from(rng.random_range(b'a'..=b'z')),
            _ => rng.random(),
        };
        if key.len() + c.len_utf8() > MAX_KEY_BYTES {
            break;
        }
        key.push(c);
    }
    if key == "op/config" { "op/config2".to_owned() } else { key }
}

/// Draws a value, of which a few are large.
pub fn draw_value(rng: &mut SmallRng) -> Vec<u8> {
    let size = match rng.random_range(0..50) {
        0 => MAX_VALUE_BYTES,
        1 => rng.random_range(0..MAX_VALUE_BYTES),
        2..=20 => return TEXTS[rng.random_range(0..TEXTS.len())].into(),
        _ => rng.random_range(0..2000),
    };
    let mut value = vec![0; size];
    rng.fill(&mut value[..]);
    value
}
