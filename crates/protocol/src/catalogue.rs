//! Conversion of catalogue entries and of differences between catalogue revisions.

use {
    crate::{
        ProtocolError,
        bounds::{
            MAX_ENTRIES, MAX_ENTRY_NAME_BYTES, MAX_HOST_BYTES, MAX_INSTANCES, MAX_METHOD_BYTES,
            MAX_OWNER_BYTES, MAX_PATH_BYTES, MAX_SERVICES, check_size, list_len, name, name_within,
            text,
        },
        node_capnp::{self, difference, entry, entry_removed, instance_changed, workspace},
    },
    capnp::struct_list,
    jujubeline_catalogue::{
        Allowance, Difference, Entry, MAX_KEYS, MAX_SPLIT, MAX_WORKSPACES, Preference, Rate,
        ServiceLimit, ServiceLimits, Share, Workspace, WorkspaceChanges,
    },
    jujubeline_core::{Class, KeyDigest, NodeId, Revision},
    std::sync::Arc,
};

/// Writes the difference between two catalogue revisions.
///
/// # Errors
///
/// When more than 5,120 entries are set, or removed, more than 16,384 instances are retired, or reinstated, or there are
/// limits of more than 4,096 services. Each list is counted separately.
pub fn write_difference(
    mut builder: difference::Builder<'_>,
    difference: &Difference,
) -> Result<(), ProtocolError> {
    builder.set_from(difference.from);
    builder.set_to(difference.to);
    let len = list_len("difference.set", difference.set.len(), MAX_ENTRIES)?;
    let mut set = builder.reborrow().init_set(len);
    for (index, (revision, entry)) in (0..).zip(&difference.set) {
        let mut item = set.reborrow().get(index);
        item.set_revision(*revision);
        write_entry(item.init_entry(), entry);
    }
    let len = list_len("difference.removed", difference.removed.len(), MAX_ENTRIES)?;
    write_removed(builder.reborrow().init_removed(len), &difference.removed);
    let len = list_len(
        "difference.retired",
        difference.retired.len(),
        MAX_INSTANCES,
    )?;
    write_instances(builder.reborrow().init_retired(len), &difference.retired);
    let len = list_len(
        "difference.reinstated",
        difference.reinstated.len(),
        MAX_INSTANCES,
    )?;
    write_instances(
        builder.reborrow().init_reinstated(len),
        &difference.reinstated,
    );
    if let Some(services) = &difference.services {
        let len = list_len("difference.services", services.limits.len(), MAX_SERVICES)?;
        builder.set_services_revision(services.revision);
        let mut list = builder.reborrow().init_services(len);
        for (index, limit) in (0..).zip(services.limits.iter()) {
            let mut item = list.reborrow().get(index);
            item.set_service(&*limit.service);
            item.set_connections(limit.connections);
            item.set_health_path(limit.health_path.as_deref().unwrap_or_default());
        }
    }
    write_workspaces(builder, &difference.workspaces)
}

/// Limit of the workspaces set, and of those removed, in one difference: all workspaces and all tombstones of a node.
const MAX_WORKSPACES_LISTED: usize = MAX_WORKSPACES + 1_024;

fn write_workspaces(
    mut builder: difference::Builder<'_>,
    changes: &WorkspaceChanges,
) -> Result<(), ProtocolError> {
    builder.set_keys_required(changes.keys_required);
    let len = list_len("workspaces.set", changes.set.len(), MAX_WORKSPACES_LISTED)?;
    let mut set = builder.reborrow().init_workspaces_set(len);
    for (index, (revision, workspace)) in (0..).zip(&changes.set) {
        let mut item = set.reborrow().get(index);
        item.set_revision(*revision);
        write_workspace(item.init_workspace(), workspace)?;
    }
    let len = list_len(
        "workspaces.removed",
        changes.removed.len(),
        MAX_WORKSPACES_LISTED,
    )?;
    write_removed(builder.init_workspaces_removed(len), &changes.removed);
    Ok(())
}

fn write_removed(
    mut list: struct_list::Builder<'_, entry_removed::Owned>,
    removed: &[(Revision, Arc<str>)],
) {
    for (index, (revision, name)) in (0..).zip(removed) {
        let mut item = list.reborrow().get(index);
        item.set_revision(*revision);
        item.set_name(&**name);
    }
}

fn read_removed(
    list: struct_list::Reader<'_, entry_removed::Owned>,
) -> Result<Vec<(Revision, Arc<str>)>, ProtocolError> {
    list.iter()
        .map(|item| {
            let name = name_within("removed.name", item.get_name()?, MAX_ENTRY_NAME_BYTES)?;
            Ok((item.get_revision(), name))
        })
        .collect()
}

fn write_workspace(
    mut builder: workspace::Builder<'_>,
    workspace: &Workspace,
) -> Result<(), ProtocolError> {
    builder.set_name(&*workspace.name);
    builder.set_priority(workspace.priority);
    if let Some(allowance) = workspace.allowance {
        builder.set_rate_thousandths_per_s(allowance.rate_per_s.thousandths());
        builder.set_burst(allowance.burst);
    }
    let len = list_len("workspace.keys", workspace.keys_sha256.len(), MAX_KEYS)?;
    let mut keys = builder.init_keys(len);
    for (index, key) in (0..).zip(&workspace.keys_sha256) {
        let mut item = keys.reborrow().get(index);
        item.set_high(high(key.to_bits()));
        item.set_low(low(key.to_bits()));
    }
    Ok(())
}

const fn high(bits: u128) -> u64 {
    (bits >> 64) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the low half is what is wanted"
)]
const fn low(bits: u128) -> u64 {
    bits as u64
}

fn read_workspaces(reader: difference::Reader<'_>) -> Result<WorkspaceChanges, ProtocolError> {
    let set = reader.get_workspaces_set()?;
    check_size("workspaces.set", set.len() as usize, MAX_WORKSPACES_LISTED)?;
    let removed = reader.get_workspaces_removed()?;
    check_size(
        "workspaces.removed",
        removed.len() as usize,
        MAX_WORKSPACES_LISTED,
    )?;
    Ok(WorkspaceChanges {
        keys_required: reader.get_keys_required(),
        set: set
            .iter()
            .map(|item| Ok((item.get_revision(), read_workspace(item.get_workspace()?)?)))
            .collect::<Result<_, ProtocolError>>()?,
        removed: read_removed(removed)?,
    })
}

fn read_workspace(reader: workspace::Reader<'_>) -> Result<Workspace, ProtocolError> {
    let keys = reader.get_keys()?;
    check_size("workspace.keys", keys.len() as usize, MAX_KEYS)?;
    let rate_per_s = Rate::from_thousandths(reader.get_rate_thousandths_per_s());
    Ok(Workspace {
        name: name_within("workspace.name", reader.get_name()?, MAX_ENTRY_NAME_BYTES)?,
        keys_sha256: keys
            .iter()
            .map(|key| {
                let bits = u128::from(key.get_high()) << 64 | u128::from(key.get_low());
                KeyDigest::from_bits(bits)
            })
            .collect(),
        priority: reader.get_priority(),
        allowance: (rate_per_s > Rate::default()).then(|| Allowance {
            rate_per_s,
            burst: reader.get_burst(),
        }),
    })
}

fn read_services(reader: difference::Reader<'_>) -> Result<Option<ServiceLimits>, ProtocolError> {
    let revision = reader.get_services_revision();
    if revision == 0 {
        return Ok(None);
    }
    let services = reader.get_services()?;
    check_size("difference.services", services.len() as usize, MAX_SERVICES)?;
    let limits = services
        .iter()
        .map(|item| {
            let path = text(
                "service.healthPath",
                item.get_health_path()?,
                MAX_PATH_BYTES,
            )?;
            Ok(ServiceLimit {
                service: name("service.service", item.get_service()?)?,
                connections: item.get_connections(),
                health_path: (!path.is_empty()).then(|| path.to_owned()),
            })
        })
        .collect::<Result<_, ProtocolError>>()?;
    Ok(Some(ServiceLimits { revision, limits }))
}

fn write_instances(
    mut list: struct_list::Builder<'_, instance_changed::Owned>,
    instances: &[(Revision, NodeId)],
) {
    for (index, (revision, instance)) in (0..).zip(instances) {
        let mut item = list.reborrow().get(index);
        item.set_revision(*revision);
        item.set_instance(&**instance);
    }
}

fn read_instances(
    list: struct_list::Reader<'_, instance_changed::Owned>,
) -> Result<Vec<(Revision, NodeId)>, ProtocolError> {
    check_size("difference.instances", list.len() as usize, MAX_INSTANCES)?;
    list.iter()
        .map(|item| Ok((item.get_revision(), name("instance", item.get_instance()?)?)))
        .collect()
}

/// Reads the difference between two catalogue revisions.
///
/// # Errors
///
/// When one of the lists of set and removed entries has more than 5,120 items, one of the lists of retired and
/// reinstated instances has more than 16,384, there are limits of more than 4,096 services, or a field of an entry, the
/// name of an instance or the limits of a service are invalid.
pub fn read_difference(reader: difference::Reader<'_>) -> Result<Difference, ProtocolError> {
    let set = reader.get_set()?;
    check_size("difference.set", set.len() as usize, MAX_ENTRIES)?;
    let removed = reader.get_removed()?;
    check_size("difference.removed", removed.len() as usize, MAX_ENTRIES)?;
    Ok(Difference {
        from: reader.get_from(),
        to: reader.get_to(),
        set: set
            .iter()
            .map(|item| Ok((item.get_revision(), read_entry(item.get_entry()?)?)))
            .collect::<Result<_, ProtocolError>>()?,
        removed: read_removed(removed)?,
        retired: read_instances(reader.get_retired()?)?,
        reinstated: read_instances(reader.get_reinstated()?)?,
        services: read_services(reader)?,
        workspaces: read_workspaces(reader)?,
    })
}

fn write_entry(mut builder: entry::Builder<'_>, entry: &Entry) {
    builder.set_name(&*entry.name);
    builder.set_owner(&entry.owner);
    builder.set_method(&entry.method);
    builder.set_path_prefix(&entry.path_prefix);
    builder.set_service(&*entry.service);
    builder.set_class(match entry.class {
        Class::Critical => node_capnp::Class::Critical,
        Class::High => node_capnp::Class::High,
        Class::Normal => node_capnp::Class::Normal,
        Class::Low => node_capnp::Class::Low,
    });
    builder.set_deadline_ms(entry.deadline_ms);
    builder.set_retry_bound(entry.retry_bound);
    builder.set_concurrency(entry.concurrency);
    builder.set_at_most_once(entry.at_most_once);
    builder.set_prefer(match entry.prefer {
        Preference::Goodput => node_capnp::Preference::Goodput,
        Preference::Recovery => node_capnp::Preference::Recovery,
    });
    builder.set_host(entry.host.as_deref().unwrap_or_default());
    builder.set_unkeyed(!entry.keyed);
    builder.set_max_attempts(entry.max_attempts.unwrap_or(0));
    builder.set_unreadable(entry.unreadable);
    builder.set_public(entry.public);
    // Catalogue validation limits the number of shares, so the conversion does not fail.
    let count = u32::try_from(entry.split.len()).unwrap_or(u32::MAX);
    let mut shares = builder.init_split(count);
    for (index, share) in (0..).zip(&entry.split) {
        let mut item = shares.reborrow().get(index);
        item.set_service(&*share.service);
        item.set_weight(share.weight);
    }
}

fn read_entry(reader: entry::Reader<'_>) -> Result<Entry, ProtocolError> {
    let host = text("entry.host", reader.get_host()?, MAX_HOST_BYTES)?;
    let split = reader.get_split()?;
    check_size("entry.split", split.len() as usize, MAX_SPLIT)?;
    Ok(Entry {
        name: name_within("entry.name", reader.get_name()?, MAX_ENTRY_NAME_BYTES)?,
        owner: text("entry.owner", reader.get_owner()?, MAX_OWNER_BYTES)?.to_owned(),
        method: text("entry.method", reader.get_method()?, MAX_METHOD_BYTES)?.to_owned(),
        path_prefix: text(
            "entry.pathPrefix",
            reader.get_path_prefix()?,
            MAX_PATH_BYTES,
        )?
        .to_owned(),
        service: name("entry.service", reader.get_service()?)?,
        host: (!host.is_empty()).then(|| host.to_owned()),
        split: split
            .iter()
            .map(|share| {
                Ok(Share {
                    service: name("share.service", share.get_service()?)?,
                    weight: share.get_weight(),
                })
            })
            .collect::<Result<_, ProtocolError>>()?,
        class: match reader.get_class()? {
            node_capnp::Class::Critical => Class::Critical,
            node_capnp::Class::High => Class::High,
            node_capnp::Class::Normal => Class::Normal,
            node_capnp::Class::Low => Class::Low,
        },
        deadline_ms: reader.get_deadline_ms(),
        retry_bound: reader.get_retry_bound(),
        concurrency: reader.get_concurrency(),
        at_most_once: reader.get_at_most_once(),
        max_attempts: Some(reader.get_max_attempts()).filter(|&attempts| attempts > 0),
        keyed: !reader.get_unkeyed(),
        unreadable: reader.get_unreadable(),
        public: reader.get_public(),
        prefer: match reader.get_prefer()? {
            node_capnp::Preference::Goodput => Preference::Goodput,
            node_capnp::Preference::Recovery => Preference::Recovery,
        },
    })
}
