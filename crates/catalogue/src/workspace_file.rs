//! Workspaces in a catalogue file.

use {
    crate::{
        Allowance, Catalogue, Rate, Workspace,
        fields::{Fields, LocatedProblem},
        shared_keys,
        workspace::{MAX_RATE_PER_S, MAX_WORKSPACES},
    },
    jujubeline_core::KeyDigest,
    serde::Serialize,
    std::collections::BTreeMap,
    toml::de::DeTable,
};

/// A workspace as a table of the file, in which the allowance has no table of its own.
#[derive(Debug, Serialize)]
pub(crate) struct WorkspaceTable<'a> {
    name: &'a str,
    keys_sha256: &'a [KeyDigest],
    priority: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    rate_per_s: Option<Rate>,
    #[serde(skip_serializing_if = "Option::is_none")]
    burst: Option<u32>,
}

impl<'a> From<&'a Workspace> for WorkspaceTable<'a> {
    fn from(workspace: &'a Workspace) -> Self {
        Self {
            name: &workspace.name,
            keys_sha256: &workspace.keys_sha256,
            priority: workspace.priority,
            rate_per_s: workspace.allowance.map(|allowance| allowance.rate_per_s),
            burst: workspace.allowance.map(|allowance| allowance.burst),
        }
    }
}

/// Reads the tables written as `[[workspace]]`.
pub(crate) fn read_workspaces(
    tables: Vec<(usize, DeTable<'_>)>,
    catalogue: &mut Catalogue,
    problems: &mut Vec<LocatedProblem>,
) {
    if let Some((offset, _)) = tables.get(MAX_WORKSPACES) {
        problems.push(LocatedProblem {
            offset: *offset,
            field: "workspace".to_owned(),
            detail: format!("more than {MAX_WORKSPACES} workspaces"),
        });
        return;
    }
    let mut offsets = BTreeMap::new();
    for (index, (offset, table)) in tables.into_iter().enumerate() {
        let label = format!("workspace number {}.", index + 1);
        let mut fields = Fields::new(offset, &label, table);
        let workspace = workspace_of(&mut fields);
        if let Some((field, detail)) = workspace.problem()
            && !fields.has_problem(field)
        {
            fields.add_problem(field, &detail);
        }
        problems.extend(fields.finish());
        let name = workspace.name.clone();
        if catalogue
            .workspaces
            .insert(name.clone(), workspace)
            .is_some()
        {
            problems.push(LocatedProblem {
                offset,
                field: format!("{label}name"),
                detail: format!("duplicate name {name:?}"),
            });
        }
        offsets.insert(name, offset);
    }
    for shared in shared_keys(catalogue.workspaces.values()) {
        problems.push(LocatedProblem {
            offset: offsets.get(&shared.second).copied().unwrap_or_default(),
            field: "workspace.keys_sha256".to_owned(),
            detail: shared.to_string(),
        });
    }
}

/// Reads all fields. A field with a problem gets a valid placeholder, so that the other fields can still be checked.
fn workspace_of(fields: &mut Fields<'_>) -> Workspace {
    let name = fields.required_text("name").unwrap_or_default();
    let priority = fields.optional_integer("priority").unwrap_or(0);
    let burst = fields.optional_integer("burst");
    let rate_per_s = fields.optional_number("rate_per_s").and_then(|per_s| {
        let rate = Rate::try_from(per_s);
        if rate.is_err() {
            let detail = format!("{per_s} is not in 0 to {MAX_RATE_PER_S}");
            fields.add_problem("rate_per_s", &detail);
        }
        rate.ok()
    });
    if burst.is_some() && rate_per_s.is_none() && !fields.has_problem("rate_per_s") {
        fields.add_problem("burst", "needs rate_per_s");
    }
    let keys = fields.texts("keys_sha256");
    let digests: Result<Vec<KeyDigest>, _> = keys.iter().map(|text| text.parse()).collect();
    if digests.is_err() {
        // The value may be a key that was written in place of its digest, so it is not shown.
        fields.add_problem(
            "keys_sha256",
            "holds a text that is not the first 32 hexadecimal digits of a SHA-256 digest",
        );
    }
    let saturated = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    Workspace {
        name: name.into(),
        keys_sha256: digests.unwrap_or_default(),
        priority: saturated(priority),
        allowance: rate_per_s
            .filter(|rate| *rate > Rate::default())
            .map(|rate_per_s| Allowance {
                rate_per_s,
                burst: saturated(burst.unwrap_or(0)),
            }),
    }
}
