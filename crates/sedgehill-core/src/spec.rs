//! Templates and parameters after validation.
//!
//! Only [`crate::manifest`] builds these types from raw input. They are stored in the log in this
//! form.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, IdError, KindName, OrgName, TemplateName, text_conversions};
use crate::units::{EventRate, ResourceSet, TimeSpan};

/// A workload that operators publish, independent of the organisations that use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTemplate {
    /// Name by which parameters and jobs refer to it.
    pub name: TemplateName,
    /// Type and requirements of the work.
    pub work: WorkShape,
}

/// The three types of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum WorkShape {
    /// Requests that are routed to endpoints.
    Service(ServiceShape),
    /// Independent tasks, each placed as soon as a worker has capacity for it.
    Batch(TaskShape),
    /// Tasks that must all run at the same time.
    Gang(TaskShape),
}

/// A service and the kinds of requests it takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShape {
    /// Maximum number of requests that one endpoint serves at the same time.
    pub slots: u32,
    /// Maximum number of connections that one endpoint accepts from all boxes together.
    pub connections: u32,
    /// The kinds of requests, by name.
    pub kinds: BTreeMap<KindName, KindShape>,
}

/// One kind of request of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindShape {
    /// Time that a request of this kind may wait for an endpoint without harm. Waiting requests are
    /// ordered by arrival time plus patience.
    pub patience: TimeSpan,
    /// Time limit for an endpoint to answer.
    pub timeout: TimeSpan,
    /// Whether each request must run at most once, which requires an `Idempotency-Key` header.
    pub once_only: bool,
}

/// Requirements of each task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskShape {
    /// Resources of one task.
    pub resources: ResourceSet,
    /// Declared run time, which is often inaccurate.
    pub run_time: TimeSpan,
    /// Maximum number of attempts in total for a task that fails or is lost.
    pub attempts: u32,
}

/// Parameters of one organisation for one template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgParameters {
    /// The organisation.
    pub organisation: OrgName,
    /// Name of the template.
    pub template: TemplateName,
    /// Priority from 0 to 9; jobs of a higher priority are placed first.
    pub priority: u8,
    /// Data halls in which the work may run; empty for all.
    pub halls: BTreeSet<HallName>,
    /// Additional time that work of this organisation may wait, beyond the patience of its kind.
    pub tolerable_delay: TimeSpan,
    /// Maximum rate of requests to one box; `None` for no limit.
    pub rate: Option<EventRate>,
    /// Maximum number of requests that wait at one box.
    pub queue: u32,
    /// Maximum resources of the organisation's open jobs with this template; `None` for no limit.
    pub quota: Option<ResourceSet>,
}

impl OrgParameters {
    /// Whether the work may run in `hall`.
    pub fn allows(&self, hall: &HallName) -> bool {
        self.halls.is_empty() || self.halls.contains(hall)
    }
}

/// Key of a published configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum ConfigKey {
    /// A template.
    Template(TemplateName),
    /// Parameters of an organisation for a template.
    Parameters(OrgName, TemplateName),
}

impl fmt::Display for ConfigKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigKey::Template(template) => write!(f, "template/{template}"),
            ConfigKey::Parameters(org, template) => write!(f, "parameters/{org}/{template}"),
        }
    }
}

impl FromStr for ConfigKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let parts: Vec<&str> = text.split('/').collect();
        match parts.as_slice() {
            ["template", template] => Ok(ConfigKey::Template(template.parse()?)),
            ["parameters", org, template] => {
                Ok(ConfigKey::Parameters(org.parse()?, template.parse()?))
            }
            _ => Err(IdError::Malformed("`template/NAME` or `parameters/ORGANISATION/TEMPLATE`")),
        }
    }
}

text_conversions!(ConfigKey);

/// Content of a published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigSpec {
    /// A template.
    Template(WorkTemplate),
    /// Parameters of an organisation for a template.
    Parameters(OrgParameters),
}

impl ConfigSpec {
    /// Returns the key under which the configuration is published.
    pub fn key(&self) -> ConfigKey {
        match self {
            ConfigSpec::Template(template) => ConfigKey::Template(template.name.clone()),
            ConfigSpec::Parameters(parameters) => {
                ConfigKey::Parameters(parameters.organisation.clone(), parameters.template.clone())
            }
        }
    }
}
