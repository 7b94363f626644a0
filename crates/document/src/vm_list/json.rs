use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

use crate::fault::FaultCollector;
use jackdawpin_core::name;

/// A value with its position in the text and the path of its field.
#[derive(Debug)]
pub(super) struct Value<'t> {
    /// Text of the whole document.
    document: &'t str,
    raw: &'t RawValue,
    path: String,
}

/// An object with its position in the text and its path.
#[derive(Debug)]
pub(super) struct Object<'t> {
    /// Text of the whole document.
    document: &'t str,
    /// Byte offset of the opening brace.
    offset: usize,
    path: String,
    fields: Fields<'t>,
}

/// The fields of an object, in the order of the text.
#[derive(Debug)]
struct Fields<'t>(Vec<(String, &'t RawValue)>);

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(Fields(fields))
    }
}

/// Checks the syntax of the whole text and returns its value. Returns `None` if there is any fault.
pub(super) fn parse<'t>(text: &'t str, faults: &mut FaultCollector<'_>) -> Option<Value<'t>> {
    if faults.len() > 0 {
        return None;
    }
    match serde_json::from_str(text) {
        Ok(raw) => Some(Value { document: text, raw, path: String::new() }),
        Err(error) => {
            let reason = error.to_string();
            let position = format!(" at line {} column {}", error.line(), error.column());
            let reason = reason.strip_suffix(&position).unwrap_or(&reason);
            faults.add_document_fault_at(error.line().max(1), error.column().max(1), reason);
            None
        }
    }
}

/// Byte offset of `raw`, which is a slice of `document`.
fn offset(document: &str, raw: &RawValue) -> usize {
    raw.get().as_ptr().addr().saturating_sub(document.as_ptr().addr())
}

impl<'t> Object<'t> {
    fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Value of the field `name`, which must appear exactly once.
    pub(super) fn require(&self, name: &str, faults: &mut FaultCollector<'_>) -> Option<Value<'t>> {
        let mut found = self.fields.0.iter().filter(|(key, _)| key == name);
        let Some((_, raw)) = found.next() else {
            faults.add(self.offset, self.field_path(name), "the field is missing");
            return None;
        };
        for (_, repeated) in found {
            faults.add(
                offset(self.document, repeated),
                self.field_path(name),
                "the field appears twice",
            );
        }
        Some(Value { document: self.document, raw, path: self.field_path(name) })
    }
}

impl<'t> Value<'t> {
    /// The value as an object.
    pub(super) fn object(&self, faults: &mut FaultCollector<'_>) -> Option<Object<'t>> {
        let fields = self.decode("an object", faults)?;
        let offset = offset(self.document, self.raw);
        Some(Object { document: self.document, offset, path: self.path.clone(), fields })
    }

    /// The elements of the value, an array. Paths number the elements from 1.
    pub(super) fn array(&self, faults: &mut FaultCollector<'_>) -> Option<Vec<Value<'t>>> {
        let elements: Vec<&'t RawValue> = self.decode("an array", faults)?;
        let value = |(index, raw)| Value {
            document: self.document,
            raw,
            path: format!("{}[{}]", self.path, index + 1),
        };
        Some(elements.into_iter().enumerate().map(value).collect())
    }

    /// The value as a string.
    pub(super) fn string(&self, faults: &mut FaultCollector<'_>) -> Option<String> {
        self.decode("a string", faults)
    }

    /// The value as an unsigned integer.
    pub(super) fn unsigned(&self, faults: &mut FaultCollector<'_>) -> Option<u64> {
        self.decode("a whole number of 64 bits without sign", faults)
    }

    /// The value as a type that is validated when it is converted from a string.
    pub(super) fn validated<T>(&self, faults: &mut FaultCollector<'_>) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = name::Error>,
    {
        match T::try_from(self.string(faults)?.as_str()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_fault(error, faults);
                None
            }
        }
    }

    /// Adds a fault at this value.
    pub(super) fn add_fault(&self, reason: impl ToString, faults: &mut FaultCollector<'_>) {
        let field = if self.path.is_empty() { "document" } else { &self.path };
        faults.add(offset(self.document, self.raw), field, reason);
    }

    fn decode<T: Deserialize<'t>>(
        &self,
        expected: &str,
        faults: &mut FaultCollector<'_>,
    ) -> Option<T> {
        let value = serde_json::from_str(self.raw.get()).ok();
        if value.is_none() {
            self.add_fault(format!("expected {expected}, found {}", self.type_name()), faults);
        }
        value
    }

    /// JSON type of the value, from its first character.
    fn type_name(&self) -> &'static str {
        match self.raw.get().as_bytes().first() {
            Some(b'{') => "an object",
            Some(b'[') => "an array",
            Some(b'"') => "a string",
            Some(b't' | b'f') => "true or false",
            Some(b'n') => "null",
            _ => "another number",
        }
    }
}
