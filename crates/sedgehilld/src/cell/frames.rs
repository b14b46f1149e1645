//! What boxes say to each other on their links to the lead.

use std::collections::BTreeSet;
use std::rc::Rc;

use sedgehill_adapter::store::{KeyedRecord, StoreTopic};
use sedgehill_cell::authority::BoxStrength;
use sedgehill_cell::ids::{BoxName, JobId, OrganisationName, QueueName, StepId, WorkerId};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::AdviceQuestion;
use sedgehill_cell::summary::{JobSummary, SummaryFilter};
use sedgehill_core::units::TimeSpan;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::accept::AcceptOutcome;
use super::relay::{RelayAnswer, RelayCall};

/// The longest frame, in bytes. One job takes some 5 KB at the most, a question on a hundred workers
/// some 4 KB; records are packed into frames of [`RECORD_BYTES`].
const FRAME_BYTES: u32 = 1 << 20;
/// Records are gathered into one frame up to this many bytes.
pub const RECORD_BYTES: usize = 128 << 10;

/// A question that a box asks on the lead's behalf.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelperQuestion {
    /// The step.
    pub step: StepId,
    /// The workers in question.
    pub workers: Vec<WorkerId>,
}

impl From<&AdviceQuestion> for HelperQuestion {
    fn from(question: &AdviceQuestion) -> HelperQuestion {
        HelperQuestion { step: question.step, workers: question.workers.clone() }
    }
}

/// Records of a topic as the store holds them, one after the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FedRecords {
    /// The topic.
    pub topic: StoreTopic,
    /// The offset of the first record.
    pub from: u64,
    /// Keys and values.
    pub records: Vec<(String, Vec<u8>)>,
}

impl FedRecords {
    /// The offset after the last record.
    pub fn end(&self) -> u64 {
        self.from + self.records.len() as u64
    }

    /// Packs records that begin at offset `from` into parts that fit into frames.
    pub fn pack(topic: StoreTopic, from: u64, records: &[KeyedRecord]) -> Vec<FedRecords> {
        let mut parts: Vec<FedRecords> = Vec::new();
        let mut bytes = RECORD_BYTES;
        for (record, offset) in records.iter().zip(from..) {
            if bytes >= RECORD_BYTES {
                parts.push(FedRecords { topic, from: offset, records: Vec::new() });
                bytes = 0;
            }
            bytes += record.key.len() + record.value.len();
            let part = parts.last_mut().expect("a part was just begun");
            part.records.push((record.key.clone(), record.value.to_vec()));
        }
        parts
    }
}

/// What the records of a stretch of a topic mean for the states of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FedBriefs {
    /// The topic.
    pub topic: StoreTopic,
    /// The offset of the first record.
    pub from: u64,
    /// The offset after the last.
    pub end: u64,
    /// The jobs that the records speak of, as they are known now.
    pub jobs: Vec<JobSummary>,
}

impl FedBriefs {
    /// The states of all jobs, with the ends of the topics that they come from. Some 12 bytes a job: a frame
    /// holds 80,000.
    pub fn of_all(replica: &CellReplica, jobs_end: u64, progress_end: u64) -> [FedBriefs; 2] {
        let jobs = replica.ids().map(|job| JobSummary::of(replica, job)).collect();
        [
            FedBriefs { topic: StoreTopic::Progress, from: 0, end: progress_end, jobs },
            FedBriefs { topic: StoreTopic::Jobs, from: 0, end: jobs_end, jobs: Vec::new() },
        ]
    }

    /// Sums up what is news in records, as `replica` knows their jobs, a stretch for each topic.
    pub fn sum_up(
        parts: &[FedRecords],
        replica: &CellReplica,
        ledger: &mut SummaryFilter,
    ) -> Vec<FedBriefs> {
        let mut stretches: Vec<(FedBriefs, BTreeSet<JobId>)> = Vec::new();
        for part in parts {
            let follows = |(stretch, _): &&mut (FedBriefs, BTreeSet<JobId>)| {
                stretch.topic == part.topic && stretch.end == part.from
            };
            let ids = part.records.iter().filter_map(|(key, _)| CellRecord::decode_key(key).ok());
            let ids = ids.map(|(_, id)| id);
            match stretches.iter_mut().find(follows) {
                Some((stretch, jobs)) => {
                    stretch.end = part.end();
                    jobs.extend(ids);
                }
                None => {
                    let FedRecords { topic, from, .. } = *part;
                    let stretch = FedBriefs { topic, from, end: part.end(), jobs: Vec::new() };
                    stretches.push((stretch, ids.collect()));
                }
            }
        }
        let mut news = |job| ledger.changes(JobSummary::of(replica, job));
        let tell = |(stretch, jobs): (FedBriefs, BTreeSet<JobId>)| FedBriefs {
            jobs: jobs.into_iter().filter_map(&mut news).collect(),
            ..stretch
        };
        stretches.into_iter().map(tell).collect()
    }
}

/// How far the lead's own views reach.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ViewProof {
    /// The version of the configuration in force.
    pub config: u64,
    /// How long ago that was surely the newest version.
    pub config_age: TimeSpan,
    /// Where the lead has read the jobs to.
    pub jobs_end: u64,
    /// Where the lead has read the progress to.
    pub progress_end: u64,
    /// How long ago jobs and progress surely ended there.
    pub cell_age: TimeSpan,
}

/// What is known of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateAnswer {
    /// Its state.
    Known(JobState),
    /// There is no such job.
    NoJob,
    /// That cannot be told at the moment.
    Untold,
}

/// What goes over a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// The first frame of a box that offers to help.
    Hello {
        /// Its name.
        name: BoxName,
        /// What it can bear.
        strength: BoxStrength,
    },
    /// The lead lives.
    Ping {
        /// Whether the store answers it. If not, the boxes that the store answers need not wait as
        /// long before one of them follows.
        store_answers: bool,
        /// The strength of the strongest box that the lead has heard of.
        strongest: BoxStrength,
    },
    /// The lead asks for advice.
    Ask(HelperQuestion),
    /// The helper has an answer of the advice service, or none.
    Answer {
        /// What was asked.
        question: HelperQuestion,
        /// The workers that may run the step, with their tickets.
        good: Option<Vec<(WorkerId, std::sync::Arc<str>)>>,
        /// How long the tickets are valid.
        valid: TimeSpan,
    },
    /// A box hands in what a caller said.
    Submit {
        /// Told again in the answer.
        number: u64,
        /// The job.
        job: JobId,
        /// The job itself, or its cancellation.
        statement: CellRecord,
    },
    /// What came of a submission.
    Submitted {
        /// The number of the submission.
        number: u64,
        /// What came of it.
        outcome: AcceptOutcome,
    },
    /// A box that does not know the jobs yet asks for the state of one.
    AskState {
        /// Told again in the answer.
        number: u64,
        /// The job.
        job: JobId,
        /// On whose behalf; none for nobody's.
        caller: Option<OrganisationName>,
    },
    /// The state of a job.
    State {
        /// The number of the question.
        number: u64,
        /// What the lead knows.
        answer: StateAnswer,
    },
    /// What the lead has read or written, for boxes that stand by to lead.
    Records(FedRecords),
    /// The same in short, for the others.
    Briefs(FedBriefs),
    /// A box that knows nothing yet asks for the states of all jobs.
    AskBriefs,
    /// Whether the box is to stand by.
    StandBy(bool),
    /// Whether the lead tells states to the boxes that do not stand by. If not, they ask.
    Tells(bool),
    /// A box that is not told states asks how many jobs of a queue wait.
    AskWaiting {
        /// Told again in the answer.
        number: u64,
        /// The queue.
        queue: QueueName,
    },
    /// How many jobs of a queue wait.
    Waiting {
        /// The number of the question.
        number: u64,
        /// How many; none if the lead cannot tell.
        count: Option<u64>,
    },
    /// The lead has a box call the store for it.
    Relay {
        /// Told again in the answer.
        number: u64,
        /// The call.
        call: RelayCall,
    },
    /// What came of that.
    Relayed {
        /// The number of the call.
        number: u64,
        /// What came of it.
        answer: RelayAnswer,
    },
    /// A box asks how far the lead's views reach.
    Probe {
        /// Told again in the answer.
        number: u64,
        /// Whether the store answers this box.
        store_answers: bool,
    },
    /// A box that the store does not answer asks for records that it missed.
    Fetch {
        /// The topic.
        topic: StoreTopic,
        /// The first offset that is missing.
        from: u64,
    },
    /// The newest record of the configuration, for a box that cannot read it.
    Config(Vec<u8>),
    /// How far they reach; none if the lead cannot tell.
    Proof {
        /// The number of the question.
        number: u64,
        /// How far they reach.
        proof: Option<ViewProof>,
    },
}

impl PeerFrame {
    /// The frame with its length before it.
    pub fn encode(&self) -> Rc<[u8]> {
        let body = postcard::to_stdvec(self).expect("frames have no types that cannot be encoded");
        let length = u32::try_from(body.len()).expect("frames are shorter than 4 GiB");
        let mut bytes = Vec::with_capacity(body.len() + 4);
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&body);
        bytes.into()
    }
}

/// Sends a frame.
pub async fn write_frame(stream: &mut OwnedWriteHalf, frame: &PeerFrame) -> std::io::Result<()> {
    stream.write_all(&frame.encode()).await
}

/// Receives a frame. Not to be given up midway: the rest would be taken as another frame.
pub async fn read_frame(stream: &mut OwnedReadHalf) -> std::io::Result<PeerFrame> {
    let length = stream.read_u32().await?;
    if length > FRAME_BYTES {
        return Err(std::io::Error::other("the frame is too long"));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}
