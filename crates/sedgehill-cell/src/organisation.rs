//! Organisations: the API keys of their callers, their resource limits, and their shares of a full cell.
//!
//! Keys are stored as digests only: code that holds a [`KeyDigest`] cannot log, store or compare the key
//! itself.

use std::collections::HashMap;
use std::fmt;

use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet};
use serde::{Deserialize, Serialize};

use crate::ids::OrganisationName;

/// Length of a key digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// The digest of a caller's key. The time to look up a digest does not reveal how close a wrong key is to a
/// valid one.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The reason for refusing a call that needs a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The call carries no key.
    Missing,
    /// The call carries a text that does not have the form of a key.
    Malformed,
    /// The key is not valid for any organisation.
    Unknown,
}

impl KeyRefusal {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "key_missing",
            KeyRefusal::Malformed => "key_malformed",
            KeyRefusal::Unknown => "key_unknown",
        }
    }
}

/// The organisation that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The index of the organisation in the configuration.
    pub index: usize,
}

/// The valid keys, with their owners.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct KeyRing {
    owners: HashMap<KeyDigest, KeyOwner>,
}

impl KeyRing {
    /// Adds a key. A key that is already present keeps its first owner.
    pub fn add(&mut self, key: KeyDigest, owner: KeyOwner) {
        self.owners.entry(key).or_insert(owner);
    }

    /// Checks the key of a call, and returns the organisation on whose behalf the call is made. A public
    /// route also admits calls without a valid key, on behalf of no organisation.
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

/// The most resources that an organisation may use at the same time; none for a dimension without a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceLimit {
    /// The limit of processor cores.
    pub cores: Option<CoreCount>,
    /// The limit of memory.
    pub memory: Option<MemorySize>,
    /// The limit of accelerators.
    pub accelerators: Option<u32>,
}

impl ResourceLimit {
    /// Returns the limit minus the resources in use; zero in a dimension where the limit is exceeded.
    pub fn remaining(&self, used: &ResourceSet) -> ResourceSet {
        let limit = ResourceSet {
            cores: self.cores.unwrap_or(CoreCount(u64::MAX)),
            memory: self.memory.unwrap_or(MemorySize(u64::MAX)),
            accelerators: self.accelerators.unwrap_or(u32::MAX),
        };
        limit.saturating_minus(used)
    }

    /// Returns whether the limit allows this use of resources.
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

/// The share of an organisation when the cell is full, in thousandths of a job per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareWeight(pub u64);

impl fmt::Display for ShareWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

/// The configured policy of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationPolicy {
    /// The organisation.
    pub name: OrganisationName,
    /// Its share when the cell is full.
    pub weight: ShareWeight,
    /// The most resources that it may use at the same time.
    pub maximum: ResourceLimit,
}

/// The owner of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobOwner {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The limit of the organisation when the job was accepted. It applies to the tasks of the job if the
    /// organisation is later removed from the configuration, since its accepted jobs still run.
    pub maximum: ResourceLimit,
}
