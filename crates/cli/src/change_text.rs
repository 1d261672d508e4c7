//! Changes as human-readable text, and `catalogue history`.

use {
    crate::{CliError, context::Context, log::stored_changes},
    error_stack::Report,
    jujubeline_catalogue::{Catalogue, Change, Edit},
    serde::Serialize,
    serde_json::{Value, json},
    std::fmt::Write,
    time::{OffsetDateTime, format_description::well_known::Rfc3339},
};

/// Describes a change: one line with its revision, author, time and id, then its edits.
pub(crate) fn describe(change: &Change) -> String {
    format!(
        "revision {} by {} at {}, id {}\n{}",
        change.revision,
        change.author,
        time_text(change.made_at_ms),
        change.change_id,
        edits(&change.edits, None)
    )
}

/// Lists edits, one on a line. With the catalogue before the edits, shows the changed fields of an existing entry.
pub(crate) fn edits(edits: &[Edit], before: Option<&Catalogue>) -> String {
    let mut text = String::new();
    for edit in edits {
        let _ = match edit {
            Edit::Set(entry) => match before.and_then(|before| before.entries.get(&entry.name)) {
                Some(old) => {
                    writeln!(
                        text,
                        "  change {}: {}",
                        entry.name,
                        changed_fields(old, entry)
                    )
                }
                None => writeln!(text, "  set {}", entry.name),
            },
            Edit::Remove(name) => writeln!(text, "  remove {name}"),
            Edit::Retire(instance) => writeln!(text, "  retire instance {instance}"),
            Edit::Reinstate(instance) => writeln!(text, "  reinstate instance {instance}"),
            Edit::SetWorkspace(workspace) => {
                let name = &workspace.name;
                match before.and_then(|before| before.workspaces.get(name)) {
                    Some(old) => writeln!(
                        text,
                        "  change workspace {name}: {}",
                        changed_fields(old, workspace)
                    ),
                    None => writeln!(text, "  set workspace {name}"),
                }
            }
            Edit::RemoveWorkspace(name) => writeln!(text, "  remove workspace {name}"),
        };
    }
    text
}

/// Runs `catalogue history`.
pub(crate) async fn history(context: &Context) -> Result<(), Report<CliError>> {
    let listing = context.log()?.list().await?;
    let mut text = String::new();
    let mut values = Vec::new();
    for stored in stored_changes(&listing) {
        match &stored.logged.change {
            Ok(change) => {
                text.push_str(&describe(change));
                values.push(json!(change));
            }
            Err(problem) => {
                let revision = stored.logged.revision;
                let _ = writeln!(text, "revision {revision} is invalid: {problem}");
                values.push(json!({ "revision": revision, "problem": problem }));
            }
        }
    }
    context.print(&text, &Value::Array(values))
}

fn changed_fields<T: Serialize>(old: &T, new: &T) -> String {
    let (Value::Object(old), Value::Object(new)) = (json!(old), json!(new)) else {
        return String::new();
    };
    let changed: Vec<String> = new
        .iter()
        .filter(|(field, value)| old.get(*field) != Some(value))
        .map(|(field, value)| {
            format!(
                "{field} {} -> {value}",
                old.get(field).unwrap_or(&Value::Null)
            )
        })
        .collect();
    changed.join(", ")
}

fn time_text(ms: u64) -> String {
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(ms) * 1_000_000)
        .ok()
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| format!("{ms} ms"))
}
