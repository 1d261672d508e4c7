//! Breadth-first exploration of a state machine, with the shortest trace to a violation.

use {
    std::{
        collections::{HashSet, VecDeque},
        hash::{Hash, Hasher},
    },
    xxhash_rust::xxh3::{xxh3_64, xxh3_128},
};

/// Result of an exploration.
pub struct Exploration<A> {
    pub states: usize,
    pub is_exhausted: bool,
    /// Steps from the start within which every state was visited.
    pub depth: usize,
    pub violation: Option<(String, Vec<A>)>,
}

/// Visits all states that are reachable from `initial`, up to `max_states`.
///
/// `next` returns the enabled actions with the states that they lead to, and `check` the violation of a state.
/// Visited states are kept as 128-bit hashes; a collision within 10^7 states has a probability below 10^-24.
pub fn explore<S: Hash, A: Clone>(
    initial: S,
    max_states: usize,
    next: impl Fn(&S) -> Vec<(A, S)>,
    mut check: impl FnMut(&S) -> Option<String>,
) -> Exploration<A> {
    let mut visited = HashSet::from([hash_of(&initial)]);
    let mut steps: Vec<(usize, Option<A>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(0, 0, initial)]);
    let mut depth = 0;
    while let Some((index, steps_from_start, state)) = queue.pop_front() {
        depth = steps_from_start;
        if let Some(violation) = check(&state) {
            return Exploration {
                states: steps.len(),
                is_exhausted: false,
                depth,
                violation: Some((violation, trace(&steps, index))),
            };
        }
        if steps.len() >= max_states {
            return Exploration {
                states: steps.len(),
                is_exhausted: false,
                depth,
                violation: None,
            };
        }
        for (action, following) in next(&state) {
            if visited.insert(hash_of(&following)) {
                steps.push((index, Some(action)));
                queue.push_back((steps.len() - 1, depth + 1, following));
            }
        }
    }
    Exploration {
        states: steps.len(),
        is_exhausted: true,
        depth,
        violation: None,
    }
}

/// 128-bit hash that identifies a value.
pub fn hash_of<S: Hash + ?Sized>(state: &S) -> u128 {
    let mut bytes = Bytes::default();
    state.hash(&mut bytes);
    xxh3_128(&bytes.0)
}

/// Collects the bytes that a state feeds to its hasher. One hash over all bytes is several times faster in a debug
/// build.
#[derive(Default)]
struct Bytes(Vec<u8>);

impl Hasher for Bytes {
    fn write(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn finish(&self) -> u64 {
        xxh3_64(&self.0)
    }
}

fn trace<A: Clone>(steps: &[(usize, Option<A>)], mut index: usize) -> Vec<A> {
    let mut actions = Vec::new();
    while let (parent, Some(action)) = &steps[index] {
        actions.push(action.clone());
        index = *parent;
    }
    actions.reverse();
    actions
}
