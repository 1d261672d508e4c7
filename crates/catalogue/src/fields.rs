//! Typed access to the fields of one table in a catalogue file.

use {
    crate::Share,
    std::ops::Range,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// Names of fields without and with their unit, for hints when the unit is missing or a different one is given.
const FIELDS_WITH_UNIT: [(&str, &str); 1] = [("deadline", "deadline_ms")];

/// A problem at a byte offset of the text.
#[derive(Debug)]
pub(crate) struct LocatedProblem {
    pub(crate) offset: usize,
    pub(crate) field: String,
    pub(crate) detail: String,
}

/// The fields of a table that have not been read yet, and the problems found so far.
#[derive(Debug)]
pub(crate) struct Fields<'i> {
    offset: usize,
    label: String,
    unread: Vec<(String, Range<usize>, Spanned<DeValue<'i>>)>,
    offsets: Vec<(String, usize)>,
    problems: Vec<LocatedProblem>,
}

impl<'i> Fields<'i> {
    /// Fields of a table whose header is at this offset. Problems show field names with the label as a prefix.
    pub(crate) fn new(offset: usize, label: &str, table: DeTable<'i>) -> Self {
        let unread: Vec<_> = table
            .into_iter()
            .map(|(key, value)| (key.get_ref().to_string(), key.span(), value))
            .collect();
        let offsets = unread
            .iter()
            .map(|(name, span, _)| (name.clone(), span.start))
            .collect();
        Self {
            offset,
            label: label.to_owned(),
            unread,
            offsets,
            problems: Vec::new(),
        }
    }

    pub(crate) fn take(&mut self, name: &str) -> Option<Spanned<DeValue<'i>>> {
        let index = self.unread.iter().position(|(key, _, _)| key == name)?;
        Some(self.unread.swap_remove(index).2)
    }

    pub(crate) fn required_text(&mut self, name: &str) -> Option<String> {
        let value = self.required(name)?;
        let text = value.get_ref().as_str().map(ToOwned::to_owned);
        if text.is_none() {
            self.add_type_problem(name, "a string", &value);
        }
        text
    }

    /// An integer in the range of `u64`. The caller checks the range of the field.
    pub(crate) fn required_integer(&mut self, name: &str) -> Option<u64> {
        let value = self.required(name)?;
        let Some(integer) = value.get_ref().as_integer() else {
            self.add_type_problem(name, "an integer", &value);
            return None;
        };
        let parsed = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        if parsed.is_none() {
            let detail = format!("{} is negative or too large", integer.as_str());
            self.add_problem(name, &detail);
        }
        parsed
    }

    pub(crate) fn optional_text(&mut self, name: &str) -> Option<String> {
        if !self.has_unread(name) {
            return None;
        }
        self.required_text(name)
    }

    /// A table that maps services to weights; empty when the field is missing.
    pub(crate) fn shares(&mut self, name: &str) -> Vec<Share> {
        let Some(value) = self.take(name) else {
            return Vec::new();
        };
        let Some(table) = value.get_ref().as_table() else {
            self.add_type_problem(name, "a table of services with their weights", &value);
            return Vec::new();
        };
        let mut shares = Vec::with_capacity(table.len());
        for (service, weight) in table {
            let number = weight.get_ref().as_integer();
            let weight =
                number.and_then(|number| u32::from_str_radix(number.as_str(), number.radix()).ok());
            let Some(weight) = weight else {
                let detail = format!(
                    "the weight of {:?} is not a whole number in 0 to 4294967295",
                    service.get_ref()
                );
                self.add_problem(name, &detail);
                continue;
            };
            shares.push(Share {
                service: service.get_ref().as_ref().into(),
                weight,
            });
        }
        shares
    }

    pub(crate) fn optional_integer(&mut self, name: &str) -> Option<u64> {
        if !self.has_unread(name) {
            return None;
        }
        self.required_integer(name)
    }

    /// A whole or decimal number.
    pub(crate) fn optional_number(&mut self, name: &str) -> Option<f64> {
        let value = self.take(name)?;
        let parsed = match value.get_ref() {
            DeValue::Integer(number) => number.as_str().parse().ok(),
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => None,
        };
        if parsed.is_none() {
            self.add_type_problem(name, "a number", &value);
        }
        parsed
    }

    /// An array of strings; empty when the field is missing.
    pub(crate) fn texts(&mut self, name: &str) -> Vec<String> {
        let Some(value) = self.take(name) else {
            return Vec::new();
        };
        let items = value.get_ref().as_array().map(|items| {
            let text = |item: &Spanned<DeValue<'_>>| item.get_ref().as_str().map(ToOwned::to_owned);
            items.iter().map(text).collect::<Option<Vec<_>>>()
        });
        items.flatten().unwrap_or_else(|| {
            self.add_type_problem(name, "an array of strings", &value);
            Vec::new()
        })
    }

    pub(crate) fn optional_bool(&mut self, name: &str, default: bool) -> Option<bool> {
        let Some(value) = self.take(name) else {
            return Some(default);
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.add_type_problem(name, "true or false", &value);
        }
        flag
    }

    /// The value whose label the field holds; the default when the field is missing and has one.
    pub(crate) fn labelled_value<T: Copy>(
        &mut self,
        name: &str,
        values: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        if default.is_some() && !self.has_unread(name) {
            return default;
        }
        let text = self.required_text(name)?;
        let value = values.iter().find(|(label, _)| *label == text);
        if value.is_none() {
            let labels: Vec<_> = values.iter().map(|(label, _)| *label).collect();
            let detail = format!("{text:?} is none of {}", labels.join(", "));
            self.add_problem(name, &detail);
        }
        value.map(|(_, value)| *value)
    }

    /// Adds a problem of a field, at the offset of the field if it is present and of the table otherwise.
    pub(crate) fn add_problem(&mut self, name: &str, detail: &str) {
        let offset = self.offset_of(name);
        self.problems.push(LocatedProblem {
            offset,
            field: format!("{}{name}", self.label),
            detail: detail.to_owned(),
        });
    }

    pub(crate) fn add_type_problem(
        &mut self,
        name: &str,
        expected: &str,
        value: &Spanned<DeValue<'_>>,
    ) {
        let given = value.get_ref().type_str();
        self.add_problem(name, &format!("must be {expected}, not {given}"));
    }

    pub(crate) fn offset_of(&self, name: &str) -> usize {
        self.offsets
            .iter()
            .find(|(key, _)| key == name)
            .map_or(self.offset, |(_, offset)| *offset)
    }

    /// Whether a problem with the field has been found.
    pub(crate) fn has_problem(&self, name: &str) -> bool {
        let field = format!("{}{name}", self.label);
        self.problems.iter().any(|problem| problem.field == field)
    }

    /// Returns all problems, including one for each field that has not been read.
    pub(crate) fn finish(mut self) -> Vec<LocatedProblem> {
        for (name, span, _) in std::mem::take(&mut self.unread) {
            let detail = name_with_unit(&name).map_or_else(
                || "unknown field".to_owned(),
                |known| format!("unknown field; write {known}, the unit is part of the name"),
            );
            self.problems.push(LocatedProblem {
                offset: span.start,
                field: format!("{}{name}", self.label),
                detail,
            });
        }
        self.problems
    }

    fn has_unread(&self, name: &str) -> bool {
        self.unread.iter().any(|(key, _, _)| key == name)
    }

    fn required(&mut self, name: &str) -> Option<Spanned<DeValue<'i>>> {
        let value = self.take(name);
        if value.is_none() {
            self.add_problem(name, "missing");
        }
        value
    }
}

fn name_with_unit(name: &str) -> Option<&'static str> {
    FIELDS_WITH_UNIT
        .iter()
        .find(|(stem, _)| {
            name.strip_prefix(stem)
                .is_some_and(|unit| unit.is_empty() || unit.starts_with('_'))
        })
        .map(|(_, known)| *known)
}
