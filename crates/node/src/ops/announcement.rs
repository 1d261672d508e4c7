//! Announcement that the local target sends to its node.

use {
    crate::LocalTarget, jujubeline_coordination::membership::TargetState, serde::Deserialize,
    std::net::SocketAddr,
};

/// Largest number of slots or connections that is accepted.
const MAX_COUNT: u32 = 65_536;

/// Body of `PUT /target`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    address: SocketAddr,
    state: AnnouncedState,
    slots: u32,
    connections: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum AnnouncedState {
    Cold,
    Ready,
    Draining,
    Gone,
}

impl Announcement {
    /// Parses and validates an announcement.
    ///
    /// # Errors
    ///
    /// When the announcement is invalid; the text describes the problem to the target's developer.
    pub fn read(json: &[u8]) -> Result<LocalTarget, String> {
        let announcement: Self = serde_json::from_slice(json).map_err(|error| error.to_string())?;
        for (name, count) in [
            ("slots", announcement.slots),
            ("connections", announcement.connections),
        ] {
            if !(1..=MAX_COUNT).contains(&count) {
                return Err(format!("{name} is {count}; expected 1 to {MAX_COUNT}"));
            }
        }
        Ok(LocalTarget {
            address: Some(announcement.address),
            process: None,
            born_ms: None,
            state: match announcement.state {
                AnnouncedState::Cold => TargetState::Cold,
                AnnouncedState::Ready => TargetState::Ready,
                AnnouncedState::Draining => TargetState::Draining,
                AnnouncedState::Gone => TargetState::Gone,
            },
            slots: announcement.slots,
            connections: announcement.connections,
            health_path: None,
        })
    }
}
