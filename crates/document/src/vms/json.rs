use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

use crate::fault::Log;
use jackdawpin_core::name;

/// A value with its place and the path of its field.
#[derive(Debug)]
pub(super) struct Item<'t> {
    /// The whole document.
    text: &'t str,
    raw: &'t RawValue,
    path: String,
}

/// An object with its place and path.
#[derive(Debug)]
pub(super) struct Object<'t> {
    text: &'t str,
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

/// Checks the syntax of the whole text and returns its value.
pub(super) fn parse<'t>(text: &'t str, log: &mut Log<'_>) -> Option<Item<'t>> {
    if log.len() > 0 {
        return None;
    }
    match serde_json::from_str(text) {
        Ok(raw) => Some(Item { text, raw, path: String::new() }),
        Err(error) => {
            let reason = error.to_string();
            let place = format!(" at line {} column {}", error.line(), error.column());
            let reason = reason.strip_suffix(&place).unwrap_or(&reason);
            log.whole_at(error.line().max(1), error.column().max(1), reason);
            None
        }
    }
}

/// The place of a part of the text.
fn offset(text: &str, raw: &RawValue) -> usize {
    raw.get().as_ptr().addr().saturating_sub(text.as_ptr().addr())
}

impl<'t> Object<'t> {
    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// The field of the given name, which must be there, and only once.
    pub(super) fn require(&self, name: &str, log: &mut Log<'_>) -> Option<Item<'t>> {
        let mut found = self.fields.0.iter().filter(|(key, _)| key == name);
        let Some((_, raw)) = found.next() else {
            log.add(self.offset, self.path_of(name), "the field is missing");
            return None;
        };
        for (_, second) in found {
            log.add(offset(self.text, second), self.path_of(name), "the field appears twice");
        }
        Some(Item { text: self.text, raw, path: self.path_of(name) })
    }
}

impl<'t> Item<'t> {
    /// The value as an object.
    pub(super) fn object(&self, log: &mut Log<'_>) -> Option<Object<'t>> {
        let fields = self.read("an object", log)?;
        let offset = offset(self.text, self.raw);
        Some(Object { text: self.text, offset, path: self.path.clone(), fields })
    }

    /// The elements of the value, an array; their numbers in paths count from 1.
    pub(super) fn array(&self, log: &mut Log<'_>) -> Option<Vec<Item<'t>>> {
        let elements: Vec<&'t RawValue> = self.read("an array", log)?;
        let item = |(index, raw)| Item {
            text: self.text,
            raw,
            path: format!("{}[{}]", self.path, index + 1),
        };
        Some(elements.into_iter().enumerate().map(item).collect())
    }

    /// The value as a text.
    pub(super) fn text(&self, log: &mut Log<'_>) -> Option<String> {
        self.read("a string", log)
    }

    /// The value as a whole number that is not negative.
    pub(super) fn number(&self, log: &mut Log<'_>) -> Option<u64> {
        self.read("a whole number of 64 bits without sign", log)
    }

    /// The value as a checked type that is built from a text.
    pub(super) fn checked<T>(&self, log: &mut Log<'_>) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = name::Error>,
    {
        match T::try_from(self.text(log)?.as_str()) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(error, log);
                None
            }
        }
    }

    /// Adds a fault at this value.
    pub(super) fn fault(&self, reason: impl ToString, log: &mut Log<'_>) {
        let field = if self.path.is_empty() { "document" } else { &self.path };
        log.add(offset(self.text, self.raw), field, reason);
    }

    fn read<T: Deserialize<'t>>(&self, expected: &str, log: &mut Log<'_>) -> Option<T> {
        let value = serde_json::from_str(self.raw.get()).ok();
        if value.is_none() {
            self.fault(format!("expected {expected}, found {}", self.kind()), log);
        }
        value
    }

    /// What kind of value the text has at this place.
    fn kind(&self) -> &'static str {
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
