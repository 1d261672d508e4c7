//! Reading of catalogue files, and `catalogue check`, `get` and `diff`.

use {
    crate::{CliError, change_text, context::Context},
    error_stack::Report,
    jujubeline_catalogue::{Catalogue, FileProblem, parse_file},
    jujubeline_core::{Peer, Step},
    serde_json::{Value, json},
    std::path::Path,
};

/// Size limit of a catalogue file, which leaves room for 4,096 entries of about 1 KB.
const MAX_FILE_BYTES: u64 = 8 * 1_024 * 1_024;

/// Reads and validates a catalogue file. If the file is invalid, prints all its problems.
pub(crate) fn read(context: &Context, file: &Path) -> Result<Catalogue, Report<CliError>> {
    let shown_path = file.display().to_string();
    let failed = |detail: String| {
        CliError::Failed.at(Step::Catalogue, Peer::Operator(shown_path.clone()), detail)
    };
    let metadata = std::fs::metadata(file).map_err(|error| failed(error.to_string()))?;
    if metadata.len() > MAX_FILE_BYTES {
        return Err(failed(format!(
            "the file has {} bytes; at most {MAX_FILE_BYTES} are allowed",
            metadata.len()
        )));
    }
    let text = std::fs::read_to_string(file).map_err(|error| failed(error.to_string()))?;
    let problems = match parse_file(&shown_path, &text) {
        Ok(catalogue) => return Ok(catalogue),
        Err(problems) => problems,
    };
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    let values: Vec<Value> = problems.iter().map(problem_json).collect();
    context.print(
        &lines.join("\n"),
        &json!({ "result": "invalid", "problems": values }),
    )?;
    let detail = format!("{} problems", problems.len());
    Err(CliError::InvalidCatalogue.at(Step::Catalogue, Peer::Operator(shown_path), detail))
}

/// Runs `catalogue check FILE`.
pub(crate) fn check(context: &Context, file: &Path) -> Result<(), Report<CliError>> {
    let catalogue = read(context, file)?;
    let (entries, retired) = (catalogue.entries.len(), catalogue.retired.len());
    context.print(
        &format!("valid: {entries} entries, {retired} retired instances"),
        &json!({ "result": "valid", "entries": entries, "retired": retired }),
    )
}

/// Runs `catalogue get`.
pub(crate) async fn get(context: &Context) -> Result<(), Report<CliError>> {
    let contents = context.log()?.read().await?;
    let revision = contents.state.revision();
    let catalogue = contents.state.catalogue();
    let file = catalogue
        .to_toml()
        .map_err(|error| CliError::Failed.at(Step::Codec, Peer::Local, error.to_string()))?;
    for (revision, problem) in &contents.skipped {
        eprintln!("jujubeline: change {revision} is invalid and has no effect: {problem}");
    }
    context.print(
        &format!("# Revision {revision}; apply an edited copy with --based-on {revision}\n{file}"),
        &json!({ "revision": revision, "catalogue": catalogue }),
    )
}

/// Runs `catalogue diff FILE`.
pub(crate) async fn diff(context: &Context, file: &Path) -> Result<(), Report<CliError>> {
    let target = read(context, file)?;
    let state = context.log()?.read().await?.state;
    let current = state.catalogue();
    let edits = current.edits_to(&target);
    let revision = state.revision();
    let text = if edits.is_empty() {
        format!("no difference to revision {revision}")
    } else {
        change_text::edits(&edits, Some(&current))
    };
    context.print(&text, &json!({ "revision": revision, "edits": edits }))
}

fn problem_json(problem: &FileProblem) -> Value {
    json!({
        "file": problem.file,
        "line": problem.line,
        "field": problem.field,
        "detail": problem.detail,
    })
}
