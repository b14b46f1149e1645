//! Templates and parameters, checked.
//!
//! These types are made from raw input by [`crate::manifest`] only, and are stored in the log as
//! they are.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, IdError, KindName, OrgName, TemplateName, text_conversions};
use crate::units::{EventRate, ResourceSet, TimeSpan};

/// What operators publish: the shape of a workload, without an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkTemplate {
    /// The name that parameters and jobs refer to.
    pub name: TemplateName,
    /// What sort of work it is.
    pub work: WorkShape,
}

/// The three sorts of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum WorkShape {
    /// Requests routed to endpoints.
    Service(ServiceShape),
    /// Independent tasks, each placed as room allows.
    Batch(TaskShape),
    /// Tasks that must all run at once.
    Gang(TaskShape),
}

/// A service and the kinds of requests it takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShape {
    /// Requests that one endpoint serves at once.
    pub slots: u32,
    /// Connections that one endpoint takes from all boxes together.
    pub connections: u32,
    /// The kinds of requests, by name.
    pub kinds: BTreeMap<KindName, KindShape>,
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindShape {
    /// How long a request of this kind may wait for an endpoint without harm. Requests are served
    /// in the order of arrival plus this.
    pub patience: TimeSpan,
    /// How long an endpoint may take over it.
    pub timeout: TimeSpan,
    /// Whether each request must run at most once, and so needs an `Idempotency-Key`.
    pub once_only: bool,
}

/// What each task of a job needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskShape {
    /// The resources of one task.
    pub resources: ResourceSet,
    /// The declared run time; often far off.
    pub run_time: TimeSpan,
    /// How often a task that failed or was lost is tried in all.
    pub attempts: u32,
}

/// What one organisation fills in for one template.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgParameters {
    /// The organisation.
    pub organisation: OrgName,
    /// The template that is filled in.
    pub template: TemplateName,
    /// Work of a higher priority goes first; 0 to 9.
    pub priority: u8,
    /// Data halls that the work may run in; empty for all.
    pub halls: BTreeSet<HallName>,
    /// How long work of this organisation may wait beyond its turn.
    pub tolerable_delay: TimeSpan,
    /// Requests a second that this organisation may send to one box; none for no limit.
    pub rate: Option<EventRate>,
    /// Requests waiting at one box at once.
    pub queue: u32,
    /// The most that jobs of this organisation may hold at once; none for no limit.
    pub quota: Option<ResourceSet>,
}

impl OrgParameters {
    /// Whether the work may run in `hall`.
    pub fn allows(&self, hall: &HallName) -> bool {
        self.halls.is_empty() || self.halls.contains(hall)
    }
}

/// What a published version is a version of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum ConfigKey {
    /// A template.
    Template(TemplateName),
    /// The parameters of an organisation for a template.
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

/// The content of one published version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigSpec {
    /// A template.
    Template(WorkTemplate),
    /// An organisation's parameters.
    Parameters(OrgParameters),
}

impl ConfigSpec {
    /// What this is a version of.
    pub fn key(&self) -> ConfigKey {
        match self {
            ConfigSpec::Template(template) => ConfigKey::Template(template.name.clone()),
            ConfigSpec::Parameters(parameters) => {
                ConfigKey::Parameters(parameters.organisation.clone(), parameters.template.clone())
            }
        }
    }
}
