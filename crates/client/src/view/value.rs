use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Fields that hold 64 random bits. Many readers of JSON keep 53 bits of a number, so these are
/// written as texts.
const HEX_FIELDS: [&str; 2] = ["digest", "incarnation"];

/// A message as JSON.
pub(super) fn message(message: &impl Serialize) -> Value {
    // Messages consist of maps with text keys, lists, texts, numbers and truth values, which JSON
    // can express.
    let mut value = serde_json::to_value(message).unwrap_or_else(|error| json!(error.to_string()));
    use_hex(&mut value);
    value
}

fn use_hex(value: &mut Value) {
    match value {
        Value::Array(values) => values.iter_mut().for_each(use_hex),
        Value::Object(fields) => {
            for (name, field) in fields {
                match field.as_u64() {
                    Some(number) if HEX_FIELDS.contains(&name.as_str()) => *field = hex(number),
                    _ => use_hex(field),
                }
            }
        }
        _ => {}
    }
}

/// Random bits as a text.
pub(super) fn hex(bits: u64) -> Value {
    format!("{bits:016x}").into()
}

/// A document of several lines.
pub(super) fn document(value: &Value) -> String {
    format!("{value:#}\n")
}

/// A document on one line.
pub(super) fn line(value: &Value) -> String {
    format!("{value}\n")
}
