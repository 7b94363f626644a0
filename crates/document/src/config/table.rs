use std::borrow::Cow;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::FaultCollector;

/// Expected type of a repeated section. It shows the brackets, because `[name]` instead of
/// `[[name]]` is a likely mistake.
const ARRAY_OF_TABLES: &str = "an array of tables, written with [[ ]]";

/// A value with its position in the text and the path of its field.
#[derive(Debug)]
pub(super) struct Value<'a> {
    /// Byte offset of the value.
    pub(super) offset: usize,
    /// Path of the field, such as `service[1].slots`.
    pub(super) path: String,
    raw: &'a DeValue<'a>,
}

/// A table with its position in the text and its path.
#[derive(Debug)]
pub(super) struct Table<'a> {
    /// Byte offset of the table's header or opening brace.
    pub(super) offset: usize,
    /// Path of the table; empty for the root.
    pub(super) path: String,
    fields: &'a DeTable<'a>,
}

impl<'a> Table<'a> {
    /// The whole document.
    pub(super) fn root(fields: &'a DeTable<'a>) -> Self {
        Self { offset: 0, path: String::new(), fields }
    }

    /// Path of the field `name` of this table.
    pub(super) fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Names of the fields, with the byte offsets of their keys.
    pub(super) fn keys(&self) -> impl Iterator<Item = (usize, &'a str)> {
        self.fields.keys().map(|key| (key.span().start, key.get_ref().as_ref()))
    }

    /// Value of the field `name`.
    pub(super) fn get(&self, name: &str) -> Option<Value<'a>> {
        let field = self.fields.get(name)?;
        Some(Value {
            offset: field.span().start,
            path: self.field_path(name),
            raw: field.get_ref(),
        })
    }

    /// Value of the field `name`, which is mandatory.
    pub(super) fn require(&self, name: &str, faults: &mut FaultCollector<'_>) -> Option<Value<'a>> {
        let value = self.get(name);
        if value.is_none() {
            faults.add(self.offset, self.field_path(name), "the field is missing");
        }
        value
    }

    /// The elements of the field `name`, an optional array of tables.
    pub(super) fn tables(&self, name: &str, faults: &mut FaultCollector<'_>) -> Vec<Table<'a>> {
        let values = self
            .get(name)
            .and_then(|value| value.array(ARRAY_OF_TABLES, faults))
            .unwrap_or_default();
        values.into_iter().filter_map(|value| value.table(faults)).collect()
    }
}

impl<'a> Value<'a> {
    /// The value as a table.
    pub(super) fn table(self, faults: &mut FaultCollector<'_>) -> Option<Table<'a>> {
        match self.raw {
            DeValue::Table(fields) => Some(Table { offset: self.offset, path: self.path, fields }),
            _ => self.add_type_fault("a table", faults),
        }
    }

    /// The elements of the value, an array that faults describe as `expected`. Paths number the
    /// elements from 1.
    pub(super) fn array(
        &self,
        expected: &str,
        faults: &mut FaultCollector<'_>,
    ) -> Option<Vec<Value<'a>>> {
        match self.raw {
            DeValue::Array(elements) => {
                let values = elements.iter().enumerate();
                Some(values.map(|(index, element)| self.element(index, element)).collect())
            }
            _ => self.add_type_fault(expected, faults),
        }
    }

    fn element(&self, index: usize, element: &'a Spanned<DeValue<'a>>) -> Value<'a> {
        Value {
            offset: element.span().start,
            path: format!("{}[{}]", self.path, index + 1),
            raw: element.get_ref(),
        }
    }

    /// The value as a string.
    pub(super) fn string(&self, faults: &mut FaultCollector<'_>) -> Option<&'a str> {
        match self.raw {
            DeValue::String(text) => Some(text.as_ref()),
            _ => self.add_type_fault("a string", faults),
        }
    }

    /// The value as a boolean.
    pub(super) fn boolean(&self, faults: &mut FaultCollector<'_>) -> Option<bool> {
        match self.raw {
            DeValue::Boolean(flag) => Some(*flag),
            _ => self.add_type_fault("true or false", faults),
        }
    }

    /// The value as an unsigned integer.
    pub(super) fn unsigned(&self, faults: &mut FaultCollector<'_>) -> Option<u64> {
        let DeValue::Integer(number) = self.raw else {
            return self.add_type_fault("a whole number", faults);
        };
        let parsed = u64::from_str_radix(number.as_str(), number.radix()).ok();
        if parsed.is_none() {
            self.add_fault(
                format!("{number} is not a whole number of 64 bits without sign"),
                faults,
            );
        }
        parsed
    }

    /// The value as a type that is validated when it is converted from a string.
    pub(super) fn validated<T>(&self, faults: &mut FaultCollector<'_>) -> Option<T>
    where
        T: TryFrom<&'a str>,
        T::Error: ToString,
    {
        match T::try_from(self.string(faults)?) {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_fault(error, faults);
                None
            }
        }
    }

    /// Adds a fault at this value.
    pub(super) fn add_fault(&self, reason: impl ToString, faults: &mut FaultCollector<'_>) {
        faults.add(self.offset, self.path.clone(), reason);
    }

    fn add_type_fault<T>(&self, expected: &str, faults: &mut FaultCollector<'_>) -> Option<T> {
        let found: Cow<'_, str> = match self.raw {
            DeValue::Boolean(flag) => flag.to_string().into(),
            value => value.type_str().into(),
        };
        self.add_fault(format!("expected {expected}, found {found}"), faults);
        None
    }
}
