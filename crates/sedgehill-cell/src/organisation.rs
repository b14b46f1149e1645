//! Organisations: who may call, what each may have running at once, and its share when all is full.
//!
//! Keys are known by their digests alone: nothing that holds a [`KeyDigest`] can log, store or compare the
//! key itself.

use std::collections::HashMap;
use std::fmt;

use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet};
use serde::{Deserialize, Serialize};

use crate::ids::OrganisationName;

/// Bytes of a digest.
pub const DIGEST_BYTES: usize = 32;

/// The digest of a caller's key. Looking up digests tells nothing of how near a wrong key is to a right one.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Why a call that needs a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// It brings no key.
    Missing,
    /// What it brings is no key.
    Malformed,
    /// The key is not in force.
    Unknown,
}

impl KeyRefusal {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "key_missing",
            KeyRefusal::Malformed => "key_malformed",
            KeyRefusal::Unknown => "key_unknown",
        }
    }
}

/// Whose a key is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Its place among the organisations of the configuration.
    pub index: usize,
}

/// The keys in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KeyRing {
    owners: HashMap<KeyDigest, KeyOwner>,
}

impl KeyRing {
    /// Puts a key in force. One that is in force for another organisation stays with that.
    pub fn add(&mut self, key: KeyDigest, owner: KeyOwner) {
        self.owners.entry(key).or_insert(owner);
    }

    /// Decides on a call by the key that it brings. Returns on whose behalf it is made: nobody's where none
    /// is needed and none in force was brought.
    pub fn admit(
        &self,
        public: bool,
        key: Result<KeyDigest, KeyRefusal>,
    ) -> Result<Option<&KeyOwner>, KeyRefusal> {
        let owner = key.and_then(|key| self.owners.get(&key).ok_or(KeyRefusal::Unknown));
        match owner {
            Err(_) if public => Ok(None),
            owner => owner.map(Some),
        }
    }
}

/// The most that an organisation may have running at once, in each dimension; none for no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceLimit {
    /// Processors.
    pub cores: Option<CoreCount>,
    /// Memory.
    pub memory: Option<MemorySize>,
    /// Accelerators.
    pub accelerators: Option<u32>,
}

impl ResourceLimit {
    /// What may be started beside `used`.
    pub fn remaining(&self, used: &ResourceSet) -> ResourceSet {
        let most = ResourceSet {
            cores: self.cores.unwrap_or(CoreCount(u64::MAX)),
            memory: self.memory.unwrap_or(MemorySize(u64::MAX)),
            accelerators: self.accelerators.unwrap_or(u32::MAX),
        };
        most.saturating_minus(used)
    }

    /// Whether so much could ever run at once.
    pub fn allows(&self, need: &ResourceSet) -> bool {
        self.remaining(&ResourceSet::default()).fits(need)
    }
}

impl fmt::Display for ResourceLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let part = |limit: Option<String>| limit.unwrap_or_else(|| "any".to_owned());
        let cores = part(self.cores.map(|cores| cores.to_string()));
        let memory = part(self.memory.map(|memory| memory.to_string()));
        let accelerators = part(self.accelerators.map(|count| count.to_string()));
        write!(f, "{cores} cores, {memory} memory, {accelerators} accelerators")
    }
}

/// The share of an organisation when everything is full, in thousandths: so many jobs a second are its due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareWeight(pub u64);

impl fmt::Display for ShareWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

/// What the configuration says of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationPolicy {
    /// The organisation.
    pub name: OrganisationName,
    /// Its share when everything is full.
    pub weight: ShareWeight,
    /// The most that it may have running at once.
    pub maximum: ResourceLimit,
}

/// Whose a job is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobOwner {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Its limit at acceptance. It bounds the job's tasks if the organisation is dropped later: an accepted
    /// job outlives its organisation.
    pub maximum: ResourceLimit,
}
