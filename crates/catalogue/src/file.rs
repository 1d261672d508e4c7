//! Catalogue files.

use {
    crate::{
        Catalogue, Entry, Preference,
        check::{is_valid_name, overlaps},
        fields::{Fields, Placed},
        state::{MAX_ENTRIES, MAX_RETIRED},
    },
    derive_more::{Display, Error},
    jujubeline_core::Class,
    std::collections::BTreeMap,
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

const PREFERENCES: [(&str, Preference); 2] = [
    ("goodput", Preference::Goodput),
    ("recovery", Preference::Recovery),
];

/// A problem of a catalogue file.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{file}:{line}: {field}: {detail}")]
pub struct FileProblem {
    /// Name of the file, as given.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Field, with the entry that it belongs to.
    pub field: String,
    /// What is wrong, in one sentence.
    pub detail: String,
}

/// An entry that was read, with the place of each field.
struct Read {
    entry: Entry,
    name_at: usize,
    prefix_at: usize,
    is_named: bool,
    is_placed: bool,
    label: String,
}

/// Reads a catalogue file as a whole.
///
/// # Errors
///
/// All problems of the file, by line.
pub fn parse_file(file: &str, text: &str) -> Result<Catalogue, Vec<FileProblem>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut problems: Vec<Placed> = errors
        .iter()
        .map(|error| Placed {
            at: error.span().map_or(0, |span| span.start),
            field: "syntax".to_owned(),
            detail: error.message().to_owned(),
        })
        .collect();
    let mut catalogue = Catalogue::default();
    // After a syntax error the tables are incomplete, and their problems would mislead.
    if problems.is_empty() {
        problems = read(table.into_inner(), &mut catalogue);
    }
    if problems.is_empty() {
        return Ok(catalogue);
    }
    problems.sort_by_key(|problem| problem.at);
    Err(problems
        .into_iter()
        .map(|problem| FileProblem {
            file: file.to_owned(),
            line: line_of(text, problem.at),
            field: problem.field,
            detail: problem.detail,
        })
        .collect())
}

fn read(table: DeTable<'_>, catalogue: &mut Catalogue) -> Vec<Placed> {
    let mut fields = Fields::new(0, "", table);
    read_retired(&mut fields, catalogue);
    let tables = entry_tables(&mut fields);
    let mut problems = fields.finish();
    let mut entries = Vec::new();
    for (index, (at, table)) in tables.into_iter().enumerate() {
        entries.push(read_entry(index, at, table, &mut problems));
    }
    check_together(&entries, &mut problems);
    catalogue.entries = entries
        .into_iter()
        .map(|read| (read.entry.name.clone(), read.entry))
        .collect();
    problems
}

fn read_retired(fields: &mut Fields<'_>, catalogue: &mut Catalogue) {
    let Some(value) = fields.take("retired") else {
        return;
    };
    let Some(items) = value.get_ref().as_array() else {
        return fields.wrong_type("retired", "an array of instance names", &value);
    };
    for item in items {
        let Some(name) = item.get_ref().as_str() else {
            fields.wrong_type("retired", "an array of instance names", item);
            continue;
        };
        if !is_valid_name(name) {
            fields.add(
                "retired",
                &format!("{name:?} is not the name of an instance"),
            );
        } else if !catalogue.retired.insert(name.into()) {
            fields.add("retired", &format!("{name:?} is listed twice"));
        }
    }
    if catalogue.retired.len() > MAX_RETIRED {
        fields.add("retired", &format!("more than {MAX_RETIRED} instances"));
    }
}

fn entry_tables<'i>(fields: &mut Fields<'i>) -> Vec<(usize, DeTable<'i>)> {
    let expected = "an array of tables, each written as [[entry]]";
    let Some(value) = fields.take("entry") else {
        return Vec::new();
    };
    let DeValue::Array(items) = value.get_ref() else {
        fields.wrong_type("entry", expected, &value);
        return Vec::new();
    };
    if items.len() > MAX_ENTRIES {
        fields.add("entry", &format!("more than {MAX_ENTRIES} entries"));
    }
    let mut tables = Vec::with_capacity(items.len());
    for item in items {
        let Some(table) = item.get_ref().as_table() else {
            fields.wrong_type("entry", expected, item);
            continue;
        };
        tables.push((item.span().start, table.clone()));
    }
    tables
}

fn read_entry(index: usize, at: usize, table: DeTable<'_>, problems: &mut Vec<Placed>) -> Read {
    let label = entry_label(index, &table);
    let mut fields = Fields::new(at, &label, table);
    let entry = entry_of(&mut fields);
    for problem in entry.problems() {
        if !fields.has_problem(problem.field) {
            fields.add(problem.field, &problem.detail);
        }
    }
    let read = Read {
        name_at: fields.place("name"),
        prefix_at: fields.place("path_prefix"),
        is_named: !fields.has_problem("name"),
        is_placed: !fields.has_problem("method") && !fields.has_problem("path_prefix"),
        entry,
        label,
    };
    problems.extend(fields.finish());
    read
}

/// Reads every field. One with a problem is replaced by a valid value, so that the others can be checked.
fn entry_of(fields: &mut Fields<'_>) -> Entry {
    let classes = Class::ALL.map(|class| (class.label(), class));
    let text =
        |text: Option<String>, replacement: &str| text.unwrap_or_else(|| replacement.to_owned());
    Entry {
        name: text(fields.required_text("name"), "unnamed").into(),
        owner: text(fields.required_text("owner"), "nobody"),
        host: fields.optional_text("host"),
        method: text(fields.required_text("method"), "POST"),
        path_prefix: text(fields.required_text("path_prefix"), "/"),
        service: text(fields.required_text("service"), "unnamed").into(),
        split: fields.shares("split"),
        class: fields
            .choice("class", &classes, None)
            .unwrap_or(Class::Normal),
        deadline_ms: fields.required_integer("deadline_ms").unwrap_or(1),
        retry_bound: saturated(fields.required_integer("retry_bound").unwrap_or(0)),
        max_attempts: fields.optional_integer("max_attempts").map(saturated),
        concurrency: saturated(fields.required_integer("concurrency").unwrap_or(1)),
        at_most_once: fields.flag("at_most_once", false).unwrap_or(false),
        keyed: fields.flag("keyed", true).unwrap_or(true),
        prefer: fields
            .choice("prefer", &PREFERENCES, Some(Preference::default()))
            .unwrap_or_default(),
    }
}

fn check_together(entries: &[Read], problems: &mut Vec<Placed>) {
    let mut first_by_name = BTreeMap::new();
    for read in entries.iter().filter(|read| read.is_named) {
        if let Some(first) = first_by_name.insert(&read.entry.name, read) {
            problems.push(Placed {
                at: read.name_at,
                field: format!("{}name", read.label),
                detail: format!(
                    "duplicate name; {} has it too",
                    first.label.trim_end_matches('.')
                ),
            });
        }
    }
    let placed = entries.iter().filter(|read| read.is_placed);
    for overlap in overlaps(placed.map(|read| &read.entry)) {
        let place = |entry: &Entry| {
            entries
                .iter()
                .find(|read| std::ptr::eq(&raw const read.entry, entry))
        };
        let (Some(inner), Some(outer)) = (place(overlap.inner), place(overlap.outer)) else {
            continue;
        };
        problems.push(Placed {
            at: inner.prefix_at,
            field: format!("{}path_prefix", inner.label),
            detail: format!(
                "{} {:?} overlaps {:?} of {}",
                inner.entry.method,
                inner.entry.path_prefix,
                outer.entry.path_prefix,
                outer.label.trim_end_matches('.'),
            ),
        });
    }
}

fn entry_label(index: usize, table: &DeTable<'_>) -> String {
    let name = table
        .get("name")
        .and_then(|name: &Spanned<DeValue<'_>>| name.get_ref().as_str().map(ToOwned::to_owned));
    match name {
        Some(name) if is_valid_name(&name) => format!("entry {name}."),
        _ => format!("entry number {}.", index + 1),
    }
}

/// A number that is too large for its field also exceeds the range of the field, which is checked later.
fn saturated(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Line of a place in the text, from 1; the last line for its end.
fn line_of(text: &str, at: usize) -> usize {
    let before = text.get(..at).unwrap_or(text);
    let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
    line.min(text.lines().count().max(1))
}
