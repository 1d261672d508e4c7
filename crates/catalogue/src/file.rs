//! Parser of catalogue files.

use {
    crate::{
        Catalogue, Entry, Preference,
        check::{is_valid_name, overlaps},
        fields::{Fields, LocatedProblem},
        state::{MAX_ENTRIES, MAX_RETIRED},
        workspace_file::read_workspaces,
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
    /// Name of the file, as passed to [`parse_file`].
    pub file: String,
    /// Line of the problem, from 1.
    pub line: usize,
    /// Field, preceded by the entry that it belongs to.
    pub field: String,
    /// Description of the problem, in one sentence.
    pub detail: String,
}

/// An entry as read from the file, with the offsets that problems between entries refer to.
struct ParsedEntry {
    entry: Entry,
    name_offset: usize,
    prefix_offset: usize,
    has_valid_name: bool,
    has_valid_path: bool,
    label: String,
}

/// Parses and validates a catalogue file.
///
/// # Errors
///
/// All problems of the file, sorted by line.
pub fn parse_file(file: &str, text: &str) -> Result<Catalogue, Vec<FileProblem>> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut problems: Vec<LocatedProblem> = errors
        .iter()
        .map(|error| LocatedProblem {
            offset: error.span().map_or(0, |span| span.start),
            field: "syntax".to_owned(),
            detail: error.message().to_owned(),
        })
        .collect();
    let mut catalogue = Catalogue::default();
    // After a syntax error the tables are incomplete, and problems found in them would be misleading.
    if problems.is_empty() {
        problems = read_catalogue(table.into_inner(), &mut catalogue);
    }
    if problems.is_empty() {
        return Ok(catalogue);
    }
    problems.sort_by_key(|problem| problem.offset);
    Err(problems
        .into_iter()
        .map(|problem| FileProblem {
            file: file.to_owned(),
            line: line_of(text, problem.offset),
            field: problem.field,
            detail: problem.detail,
        })
        .collect())
}

fn read_catalogue(table: DeTable<'_>, catalogue: &mut Catalogue) -> Vec<LocatedProblem> {
    let mut fields = Fields::new(0, "", table);
    read_retired(&mut fields, catalogue);
    let tables = tables(&mut fields, "entry");
    if tables.len() > MAX_ENTRIES {
        fields.add_problem("entry", &format!("more than {MAX_ENTRIES} entries"));
    }
    let workspace_tables = self::tables(&mut fields, "workspace");
    let mut problems = fields.finish();
    read_workspaces(workspace_tables, catalogue, &mut problems);
    let mut entries = Vec::new();
    for (index, (offset, table)) in tables.into_iter().enumerate() {
        entries.push(read_entry(index, offset, table, &mut problems));
    }
    check_between_entries(&entries, &mut problems);
    catalogue.entries = entries
        .into_iter()
        .map(|parsed| (parsed.entry.name.clone(), parsed.entry))
        .collect();
    problems
}

fn read_retired(fields: &mut Fields<'_>, catalogue: &mut Catalogue) {
    let Some(value) = fields.take("retired") else {
        return;
    };
    let Some(items) = value.get_ref().as_array() else {
        return fields.add_type_problem("retired", "an array of instance names", &value);
    };
    for item in items {
        let Some(name) = item.get_ref().as_str() else {
            fields.add_type_problem("retired", "an array of instance names", item);
            continue;
        };
        if !is_valid_name(name) {
            fields.add_problem(
                "retired",
                &format!("{name:?} is not the name of an instance"),
            );
        } else if !catalogue.retired.insert(name.into()) {
            fields.add_problem("retired", &format!("{name:?} is listed twice"));
        }
    }
    if catalogue.retired.len() > MAX_RETIRED {
        fields.add_problem("retired", &format!("more than {MAX_RETIRED} instances"));
    }
}

/// Tables of an array of tables, each with its offset.
fn tables<'i>(fields: &mut Fields<'i>, name: &str) -> Vec<(usize, DeTable<'i>)> {
    let expected = format!("an array of tables, each written as [[{name}]]");
    let Some(value) = fields.take(name) else {
        return Vec::new();
    };
    let DeValue::Array(items) = value.get_ref() else {
        fields.add_type_problem(name, &expected, &value);
        return Vec::new();
    };
    let mut tables = Vec::with_capacity(items.len());
    for item in items {
        let Some(table) = item.get_ref().as_table() else {
            fields.add_type_problem(name, &expected, item);
            continue;
        };
        tables.push((item.span().start, table.clone()));
    }
    tables
}

fn read_entry(
    index: usize,
    offset: usize,
    table: DeTable<'_>,
    problems: &mut Vec<LocatedProblem>,
) -> ParsedEntry {
    let label = entry_label(index, &table);
    let mut fields = Fields::new(offset, &label, table);
    let entry = entry_of(&mut fields);
    for problem in entry.problems() {
        if !fields.has_problem(problem.field) {
            fields.add_problem(problem.field, &problem.detail);
        }
    }
    let parsed = ParsedEntry {
        name_offset: fields.offset_of("name"),
        prefix_offset: fields.offset_of("path_prefix"),
        has_valid_name: !fields.has_problem("name"),
        has_valid_path: !fields.has_problem("method") && !fields.has_problem("path_prefix"),
        entry,
        label,
    };
    problems.extend(fields.finish());
    parsed
}

/// Reads all fields. A field with a problem gets a valid placeholder, so that the other fields can still be checked.
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
            .labelled_value("class", &classes, None)
            .unwrap_or(Class::Normal),
        deadline_ms: fields.required_integer("deadline_ms").unwrap_or(1),
        retry_bound: saturated(fields.required_integer("retry_bound").unwrap_or(0)),
        max_attempts: fields.optional_integer("max_attempts").map(saturated),
        concurrency: saturated(fields.required_integer("concurrency").unwrap_or(1)),
        at_most_once: fields.optional_bool("at_most_once", false).unwrap_or(false),
        keyed: fields.optional_bool("keyed", true).unwrap_or(true),
        public: fields.optional_bool("public", false).unwrap_or(false),
        unreadable: false,
        prefer: fields
            .labelled_value("prefer", &PREFERENCES, Some(Preference::default()))
            .unwrap_or_default(),
    }
}

fn check_between_entries(entries: &[ParsedEntry], problems: &mut Vec<LocatedProblem>) {
    let mut first_by_name = BTreeMap::new();
    for parsed in entries.iter().filter(|parsed| parsed.has_valid_name) {
        if let Some(first) = first_by_name.insert(&parsed.entry.name, parsed) {
            problems.push(LocatedProblem {
                offset: parsed.name_offset,
                field: format!("{}name", parsed.label),
                detail: format!(
                    "duplicate name; {} has it too",
                    first.label.trim_end_matches('.')
                ),
            });
        }
    }
    let with_path = entries.iter().filter(|parsed| parsed.has_valid_path);
    for overlap in overlaps(with_path.map(|parsed| &parsed.entry)) {
        let find_parsed = |entry: &Entry| {
            entries
                .iter()
                .find(|parsed| std::ptr::eq(&raw const parsed.entry, entry))
        };
        let (Some(inner), Some(outer)) = (find_parsed(overlap.inner), find_parsed(overlap.outer))
        else {
            continue;
        };
        problems.push(LocatedProblem {
            offset: inner.prefix_offset,
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

/// Converts a number to the type of its field. A number beyond the type also exceeds the valid range of the field,
/// which is checked later.
fn saturated(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// Line of a byte offset in the text, from 1; the last line for an offset at the end of the text.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
    line.min(text.lines().count().max(1))
}
