use std::borrow::Cow;

use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::fault::Log;

/// What a repeated section is; `[name]` instead of `[[name]]` is a likely mistake.
const TABLES: &str = "an array of tables, written with [[ ]]";

/// A value with its place and the path of its field.
#[derive(Debug)]
pub(super) struct Item<'a> {
    /// Offset of the value.
    pub(super) offset: usize,
    /// Path of the field, such as `service[1].slots`.
    pub(super) path: String,
    value: &'a DeValue<'a>,
}

/// A table with its place and path.
#[derive(Debug)]
pub(super) struct Table<'a> {
    /// Offset of the table: its header or opening brace.
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

    /// The path of a field of this table.
    pub(super) fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// The names of the fields with the offsets of their keys.
    pub(super) fn keys(&self) -> impl Iterator<Item = (usize, &'a str)> {
        self.fields.keys().map(|key| (key.span().start, key.get_ref().as_ref()))
    }

    /// The field of the given name.
    pub(super) fn get(&self, name: &str) -> Option<Item<'a>> {
        let value = self.fields.get(name)?;
        Some(Item { offset: value.span().start, path: self.path_of(name), value: value.get_ref() })
    }

    /// The field of the given name, which must be there.
    pub(super) fn require(&self, name: &str, log: &mut Log<'_>) -> Option<Item<'a>> {
        let item = self.get(name);
        if item.is_none() {
            log.add(self.offset, self.path_of(name), "the field is missing");
        }
        item
    }

    /// The tables of an array of tables, which may be missing.
    pub(super) fn tables(&self, name: &str, log: &mut Log<'_>) -> Vec<Table<'a>> {
        let items = self.get(name).and_then(|item| item.array(TABLES, log)).unwrap_or_default();
        items.into_iter().filter_map(|item| item.table(log)).collect()
    }
}

impl<'a> Item<'a> {
    /// The value as a table.
    pub(super) fn table(self, log: &mut Log<'_>) -> Option<Table<'a>> {
        match self.value {
            DeValue::Table(fields) => Some(Table { offset: self.offset, path: self.path, fields }),
            _ => self.mismatch("a table", log),
        }
    }

    /// The elements of the value, an array as described by `expected`; their numbers in paths count
    /// from 1.
    pub(super) fn array(&self, expected: &str, log: &mut Log<'_>) -> Option<Vec<Item<'a>>> {
        match self.value {
            DeValue::Array(elements) => {
                let items = elements.iter().enumerate();
                Some(items.map(|(index, element)| self.element(index, element)).collect())
            }
            _ => self.mismatch(expected, log),
        }
    }

    fn element(&self, index: usize, element: &'a Spanned<DeValue<'a>>) -> Item<'a> {
        Item {
            offset: element.span().start,
            path: format!("{}[{}]", self.path, index + 1),
            value: element.get_ref(),
        }
    }

    /// The value as a text.
    pub(super) fn text(&self, log: &mut Log<'_>) -> Option<&'a str> {
        match self.value {
            DeValue::String(text) => Some(text.as_ref()),
            _ => self.mismatch("a string", log),
        }
    }

    /// The value as a truth value.
    pub(super) fn flag(&self, log: &mut Log<'_>) -> Option<bool> {
        match self.value {
            DeValue::Boolean(flag) => Some(*flag),
            _ => self.mismatch("true or false", log),
        }
    }

    /// The value as a whole number that is not negative.
    pub(super) fn number(&self, log: &mut Log<'_>) -> Option<u64> {
        let DeValue::Integer(number) = self.value else {
            return self.mismatch("a whole number", log);
        };
        let value = u64::from_str_radix(number.as_str(), number.radix()).ok();
        if value.is_none() {
            self.fault(format!("{number} is not a whole number of 64 bits without sign"), log);
        }
        value
    }

    /// The value as a checked type that is built from a text.
    pub(super) fn checked<T>(&self, log: &mut Log<'_>) -> Option<T>
    where
        T: TryFrom<&'a str>,
        T::Error: ToString,
    {
        match T::try_from(self.text(log)?) {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(error, log);
                None
            }
        }
    }

    /// Adds a fault at this value.
    pub(super) fn fault(&self, reason: impl ToString, log: &mut Log<'_>) {
        log.add(self.offset, self.path.clone(), reason);
    }

    fn mismatch<T>(&self, expected: &str, log: &mut Log<'_>) -> Option<T> {
        let found: Cow<'_, str> = match self.value {
            DeValue::Boolean(flag) => flag.to_string().into(),
            value => value.type_str().into(),
        };
        self.fault(format!("expected {expected}, found {found}"), log);
        None
    }
}
