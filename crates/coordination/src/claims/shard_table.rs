//! The shard table of a service: its gates, and the owner and epoch of each shard.

use {
    derive_more::{Display, Error},
    jujubeline_core::{DataCentre, Epoch, Incarnation, NodeId, ShardId, rendezvous_weight},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Number of shards of each service.
pub const SHARDS: u16 = 64;

/// Bound on the gates in a table; keeps the object under the platform's limit of 1 MB.
pub const MAX_GATES: usize = 1_024;

/// Bound on the departed gates that a table lists while their records are not copied.
pub const MAX_DEPARTED: usize = 256;

/// Identity of a node process, as gate or owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct GateId {
    /// Name of the instance.
    pub node: NodeId,
    /// Incarnation of the process; a later start has a higher one.
    pub incarnation: Incarnation,
}

/// A gate that may hold records and be authorised to run keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RegisteredGate {
    /// Identity of the gate.
    #[serde(flatten)]
    pub gate: GateId,
    /// Address for control messages.
    pub control_address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
}

/// A gate that has left while the only other copies of its records are at the shard owners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartedGate {
    /// Identity of the gate.
    #[serde(flatten)]
    pub gate: GateId,
    /// Shards whose owners have not copied its records yet.
    pub shards: BTreeSet<ShardId>,
}

/// Owner and epoch of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// Fencing token; rises with each takeover.
    pub epoch: Epoch,
    /// Process that owns the shard; none before the first takeover.
    pub owner: Option<GateId>,
    /// Whether the owner may authorise its own gate.
    pub solo: bool,
    /// Whether each record of the owner has a copy at another gate. Never set in a solo epoch.
    pub settled: bool,
    /// The last owner that was replaced while the shard was settled; takeovers do not wait for a fence reply of its
    /// gate until the shard is settled again.
    pub excused: Option<GateId>,
}

/// Shard table of a service, stored as the value of a platform object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardTable {
    /// Version of the table; rises by one with each edit.
    pub generation: u64,
    /// Registered gates.
    pub gates: Vec<RegisteredGate>,
    /// Departed gates with records that are not copied yet.
    pub departed: Vec<DepartedGate>,
    /// The shards; the index is the number of the shard.
    pub shards: Vec<Shard>,
}

/// Why an edit was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum TableRefusal {
    /// The edit is already in effect.
    #[display("the edit is already in effect")]
    NoChange,
    /// The gate is not registered.
    #[display("the gate is not registered")]
    NotRegistered,
    /// A later incarnation of the instance is registered.
    #[display("a later incarnation of the instance is registered")]
    Superseded,
    /// An earlier incarnation at another control address may still be running.
    #[display("an earlier incarnation is registered at another control address and is not retired")]
    OtherAddress,
    /// The owner or epoch of a shard differs.
    #[display("the shard has another owner or epoch")]
    NotOwner,
    /// The table lists its maximum of gates.
    #[display("the table lists its maximum of gates")]
    Full,
}

/// A shard that a node should take over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Number of the shard.
    pub shard: ShardId,
    /// Next owner of the shard.
    pub to: GateId,
}

impl Default for ShardTable {
    fn default() -> Self {
        Self::new(SHARDS)
    }
}

impl ShardTable {
    /// Creates a table without gates. Services use [`SHARDS`] shards; tests may use fewer.
    #[must_use]
    pub fn new(shards: u16) -> Self {
        Self {
            generation: 0,
            gates: Vec::new(),
            departed: Vec::new(),
            shards: vec![Shard::default(); usize::from(shards)],
        }
    }

    /// Whether the gate is registered with this incarnation.
    #[must_use]
    pub fn is_registered(&self, gate: &GateId) -> bool {
        self.gates.iter().any(|entry| entry.gate == *gate)
    }

    /// The shard with this number, if the table has it.
    #[must_use]
    pub fn shard(&self, shard: ShardId) -> Option<&Shard> {
        self.shards.get(usize::from(shard))
    }

    /// All shards with their numbers, in ascending order.
    pub fn numbered(&self) -> impl Iterator<Item = (ShardId, &Shard)> {
        (0..).zip(&self.shards)
    }

    /// Registers a gate. An earlier incarnation at the same control address is removed: its port is free, so its
    /// process has ended.
    ///
    /// # Errors
    ///
    /// Refuses a superseded incarnation, an earlier one at another address, and a full table.
    pub fn register(&self, gate: RegisteredGate) -> Result<Self, TableRefusal> {
        let mut next = self.clone();
        if let Some(old) = self
            .gates
            .iter()
            .find(|old| old.gate.node == gate.gate.node)
        {
            if old.gate.incarnation == gate.gate.incarnation {
                return Err(TableRefusal::NoChange);
            }
            if old.gate.incarnation > gate.gate.incarnation {
                return Err(TableRefusal::Superseded);
            }
            if old.control_address != gate.control_address {
                return Err(TableRefusal::OtherAddress);
            }
            next.remove_gate(&old.gate)?;
        }
        if next.gates.len() >= MAX_GATES {
            return Err(TableRefusal::Full);
        }
        next.gates.push(gate);
        next.gates.sort_by(|a, b| a.gate.cmp(&b.gate));
        Ok(next.with_next_generation())
    }

    /// Whether a gate can leave without the loss of a record.
    ///
    /// While a takeover is in progress, the new owner may still need the fence reply of each gate. An owner whose shard
    /// is not settled, or has not copied the records of a departed gate, may hold the only copy of a record. The last
    /// gate has nobody to hand its records to.
    #[must_use]
    pub fn can_leave(&self, gate: &GateId) -> bool {
        let awaits_copy = |number: &ShardId| {
            self.departed
                .iter()
                .any(|departed| departed.shards.contains(number))
        };
        let is_safe = |(number, shard): (ShardId, &Shard)| {
            let Some(owner) = &shard.owner else {
                return true;
            };
            let holds_only_copy = owner == gate && awaits_copy(&number);
            shard.settled && self.is_registered(owner) && !holds_only_copy
        };
        self.gates.len() <= 1 || self.numbered().all(is_safe)
    }

    /// Removes a gate that has drained.
    ///
    /// # Errors
    ///
    /// Refuses a gate that is not registered.
    pub fn deregister(&self, gate: &GateId) -> Result<Self, TableRefusal> {
        let mut next = self.clone();
        next.remove_gate(gate)?;
        Ok(next.with_next_generation())
    }

    /// Removes the gate of an instance that operators have listed as retired.
    ///
    /// # Errors
    ///
    /// Refuses an instance that is not registered.
    pub fn retire(&self, node: &NodeId) -> Result<Self, TableRefusal> {
        let gate = self
            .gates
            .iter()
            .find(|entry| entry.gate.node == *node)
            .map(|entry| entry.gate.clone())
            .ok_or(TableRefusal::NotRegistered)?;
        self.deregister(&gate)
    }

    /// Names a new owner of some shards and raises their epochs.
    ///
    /// # Errors
    ///
    /// Refuses an owner that is not registered, and shards that do not exist.
    pub fn take_over(&self, shards: &[ShardId], to: &GateId) -> Result<Self, TableRefusal> {
        if !self.is_registered(to) {
            return Err(TableRefusal::NotRegistered);
        }
        if shards.is_empty() {
            return Err(TableRefusal::NoChange);
        }
        let mut next = self.clone();
        let solo = self.gates.len() == 1;
        for &number in shards {
            let shard = next
                .shards
                .get_mut(usize::from(number))
                .ok_or(TableRefusal::NotOwner)?;
            // A settled owner never authorised its own gate and each of its records has a copy elsewhere, so the
            // takeover need not wait for it. An unsettled owner may hold the only copy of a record, so it is not
            // excused, and the gate excused before this takeover remains excused.
            let excused = if shard.settled {
                shard.owner.take()
            } else {
                shard.excused.take()
            };
            *shard = Shard {
                epoch: shard.epoch + 1,
                owner: Some(to.clone()),
                solo,
                settled: false,
                excused: excused.filter(|gate| gate != to),
            };
        }
        Ok(next.with_next_generation())
    }

    /// Marks shards as settled: all their records, including those of departed gates, have a copy outside the owner.
    ///
    /// # Errors
    ///
    /// Refuses shards of another owner or epoch, and solo epochs.
    pub fn settle(
        &self,
        shards: &[(ShardId, Epoch)],
        owner: &GateId,
    ) -> Result<Self, TableRefusal> {
        let mut next = self.clone();
        for &(number, epoch) in shards {
            let shard = next
                .shards
                .get_mut(usize::from(number))
                .ok_or(TableRefusal::NotOwner)?;
            if shard.epoch != epoch || shard.owner.as_ref() != Some(owner) || shard.solo {
                return Err(TableRefusal::NotOwner);
            }
            shard.settled = true;
            shard.excused = None;
            for departed in &mut next.departed {
                departed.shards.remove(&number);
            }
        }
        next.departed.retain(|departed| !departed.shards.is_empty());
        if next == *self {
            return Err(TableRefusal::NoChange);
        }
        Ok(next.with_next_generation())
    }

    /// Shards that need another owner or epoch: fair shares by rendezvous hashing, with as few moves as balance needs.
    ///
    /// A shard stays with its owner unless the owner is not eligible or holds more than its share. A shard also gets
    /// a new epoch when its solo mark no longer fits: with one registered gate it must be solo, and with a second
    /// eligible one it need not be.
    #[must_use]
    pub fn assign(&self, eligible: impl Fn(&GateId) -> bool) -> Vec<Assignment> {
        let gates: Vec<&GateId> = self
            .gates
            .iter()
            .map(|entry| &entry.gate)
            .filter(|gate| eligible(gate))
            .collect();
        if gates.is_empty() {
            return Vec::new();
        }
        let share = self.shards.len().div_ceil(gates.len());
        let single_gate = self.gates.len() == 1;
        let mut held: BTreeMap<&GateId, usize> = gates.iter().map(|gate| (*gate, 0)).collect();
        let mut moves = Vec::new();
        let mut unassigned = Vec::new();
        for (number, shard) in self.numbered() {
            let count = shard.owner.as_ref().and_then(|owner| held.get_mut(owner));
            match (count, &shard.owner) {
                (Some(count), Some(owner)) if *count < share => {
                    *count += 1;
                    if (single_gate && !shard.solo) || (shard.solo && gates.len() > 1) {
                        moves.push(Assignment {
                            shard: number,
                            to: owner.clone(),
                        });
                    }
                }
                _ => unassigned.push(number),
            }
        }
        for number in unassigned {
            let best = held
                .iter_mut()
                .filter(|(_, count)| **count < share)
                .max_by_key(|(gate, _)| {
                    rendezvous_weight(&number.to_be_bytes(), gate.node.as_bytes())
                });
            if let Some((gate, count)) = best {
                *count += 1;
                moves.push(Assignment {
                    shard: number,
                    to: (*gate).clone(),
                });
            }
        }
        moves
    }

    fn with_next_generation(mut self) -> Self {
        self.generation += 1;
        self
    }

    fn remove_gate(&mut self, gate: &GateId) -> Result<(), TableRefusal> {
        let index = self
            .gates
            .iter()
            .position(|entry| entry.gate == *gate)
            .ok_or(TableRefusal::NotRegistered)?;
        let shards: BTreeSet<ShardId> = self
            .numbered()
            .filter(|(_, shard)| shard.may_need_records_of(gate))
            .map(|(number, _)| number)
            .collect();
        if !shards.is_empty() {
            if self.departed.len() >= MAX_DEPARTED {
                return Err(TableRefusal::Full);
            }
            self.departed.push(DepartedGate {
                gate: gate.clone(),
                shards,
            });
        }
        self.gates.remove(index);
        Ok(())
    }
}

impl Shard {
    /// Whether the gate may hold a record of the shard that has no copy at another gate.
    fn may_need_records_of(&self, gate: &GateId) -> bool {
        let settled_owner = self.settled && self.owner.as_ref() == Some(gate);
        let excused = self.excused.as_ref() == Some(gate);
        self.epoch > 0 && !settled_owner && !excused
    }
}
