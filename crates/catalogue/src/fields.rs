//! Typed access to the fields of one table of a catalogue file.

use {
    crate::Share,
    std::ops::Range,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// Fields that carry a unit, for hints when the unit is missing or another one is given.
const FIELDS_WITH_UNIT: [(&str, &str); 1] = [("deadline", "deadline_ms")];

/// A problem at a place in the text.
#[derive(Debug)]
pub(crate) struct Placed {
    pub(crate) at: usize,
    pub(crate) field: String,
    pub(crate) detail: String,
}

/// The fields of a table that were not read yet, and the problems found so far.
#[derive(Debug)]
pub(crate) struct Fields<'i> {
    at: usize,
    label: String,
    unread: Vec<(String, Range<usize>, Spanned<DeValue<'i>>)>,
    places: Vec<(String, usize)>,
    problems: Vec<Placed>,
}

impl<'i> Fields<'i> {
    /// Fields of a table whose header is at this place. The label precedes field names in problems.
    pub(crate) fn new(at: usize, label: &str, table: DeTable<'i>) -> Self {
        let unread: Vec<_> = table
            .into_iter()
            .map(|(key, value)| (key.get_ref().to_string(), key.span(), value))
            .collect();
        let places = unread
            .iter()
            .map(|(name, span, _)| (name.clone(), span.start))
            .collect();
        Self {
            at,
            label: label.to_owned(),
            unread,
            places,
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
            self.wrong_type(name, "a string", &value);
        }
        text
    }

    /// An integer in the range of `u64`; the range of the field is checked later.
    pub(crate) fn required_integer(&mut self, name: &str) -> Option<u64> {
        let value = self.required(name)?;
        let Some(integer) = value.get_ref().as_integer() else {
            self.wrong_type(name, "an integer", &value);
            return None;
        };
        let parsed = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        if parsed.is_none() {
            let detail = format!("{} is negative or too large", integer.as_str());
            self.add(name, &detail);
        }
        parsed
    }

    pub(crate) fn optional_text(&mut self, name: &str) -> Option<String> {
        if !self.has_unread(name) {
            return None;
        }
        self.required_text(name)
    }

    /// A table of services with their weights; empty when the field is missing.
    pub(crate) fn shares(&mut self, name: &str) -> Vec<Share> {
        let Some(value) = self.take(name) else {
            return Vec::new();
        };
        let Some(table) = value.get_ref().as_table() else {
            self.wrong_type(name, "a table of services with their weights", &value);
            return Vec::new();
        };
        let mut shares = Vec::with_capacity(table.len());
        for (service, weight) in table {
            let number = weight.get_ref().as_integer();
            let weight =
                number.and_then(|number| u32::from_str_radix(number.as_str(), number.radix()).ok());
            let Some(weight) = weight else {
                let detail = format!("the weight of {:?} is no whole number", service.get_ref());
                self.add(name, &detail);
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

    pub(crate) fn flag(&mut self, name: &str, default: bool) -> Option<bool> {
        let Some(value) = self.take(name) else {
            return Some(default);
        };
        let flag = value.get_ref().as_bool();
        if flag.is_none() {
            self.wrong_type(name, "true or false", &value);
        }
        flag
    }

    /// A text that is one of a few labels.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        name: &str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        if default.is_some() && !self.has_unread(name) {
            return default;
        }
        let text = self.required_text(name)?;
        let choice = choices.iter().find(|(label, _)| *label == text);
        if choice.is_none() {
            let labels: Vec<_> = choices.iter().map(|(label, _)| *label).collect();
            let detail = format!("{text:?} is none of {}", labels.join(", "));
            self.add(name, &detail);
        }
        choice.map(|(_, choice)| *choice)
    }

    /// Adds a problem of a field, at the field if it is there and at the table otherwise.
    pub(crate) fn add(&mut self, name: &str, detail: &str) {
        let at = self.place(name);
        self.problems.push(Placed {
            at,
            field: format!("{}{name}", self.label),
            detail: detail.to_owned(),
        });
    }

    pub(crate) fn wrong_type(&mut self, name: &str, expected: &str, value: &Spanned<DeValue<'_>>) {
        let given = value.get_ref().type_str();
        self.add(name, &format!("must be {expected}, not {given}"));
    }

    pub(crate) fn place(&self, name: &str) -> usize {
        self.places
            .iter()
            .find(|(key, _)| key == name)
            .map_or(self.at, |(_, place)| *place)
    }

    /// Whether a problem of the field was found.
    pub(crate) fn has_problem(&self, name: &str) -> bool {
        let field = format!("{}{name}", self.label);
        self.problems.iter().any(|problem| problem.field == field)
    }

    /// Reports the fields that nothing has read.
    pub(crate) fn finish(mut self) -> Vec<Placed> {
        for (name, span, _) in std::mem::take(&mut self.unread) {
            let detail = hint(&name).map_or_else(
                || "unknown field".to_owned(),
                |known| format!("unknown field; write {known}, the unit is part of the name"),
            );
            self.problems.push(Placed {
                at: span.start,
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
            self.add(name, "missing");
        }
        value
    }
}

fn hint(name: &str) -> Option<&'static str> {
    FIELDS_WITH_UNIT
        .iter()
        .find(|(stem, _)| {
            name.strip_prefix(stem)
                .is_some_and(|unit| unit.is_empty() || unit.starts_with('_'))
        })
        .map(|(_, known)| *known)
}
