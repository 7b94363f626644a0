use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Fields that hold 64 random bits. Many JSON parsers keep only 53 bits of a number, so these
/// fields are written as hexadecimal strings.
const HEX_FIELDS: [&str; 2] = ["digest", "incarnation"];

/// A message as JSON, with [`HEX_FIELDS`] as strings.
pub(super) fn message(message: &impl Serialize) -> Value {
    // This cannot fail: messages consist of maps with string keys, lists, strings, numbers and
    // booleans.
    let mut value = serde_json::to_value(message).unwrap_or_else(|error| json!(error.to_string()));
    format_hex_fields(&mut value);
    value
}

fn format_hex_fields(value: &mut Value) {
    match value {
        Value::Array(values) => values.iter_mut().for_each(format_hex_fields),
        Value::Object(fields) => {
            for (name, field) in fields {
                match field.as_u64() {
                    Some(number) if HEX_FIELDS.contains(&name.as_str()) => *field = hex(number),
                    _ => format_hex_fields(field),
                }
            }
        }
        _ => {}
    }
}

/// 64 bits as a hexadecimal string.
pub(super) fn hex(bits: u64) -> Value {
    format!("{bits:016x}").into()
}

/// An indented document of several lines.
pub(super) fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}

/// A document on one line.
pub(super) fn compact_line(value: &Value) -> String {
    format!("{value}\n")
}
