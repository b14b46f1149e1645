//! The frames that boxes exchange with the lead on their links, encoded with postcard.

use std::collections::BTreeSet;
use std::rc::Rc;

use sedgehill_adapter::store::{KeyedRecord, StoreTopic};
use sedgehill_cell::authority::BoxStrength;
use sedgehill_cell::ids::{BoxName, JobId, OrganisationName, QueueName, StepId, WorkerId};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::AdviceQuestion;
use sedgehill_cell::stored::decode_with_defaults;
use sedgehill_cell::summary::{JobSummary, SummaryFilter};
use sedgehill_cell::unsettled::UnsettledReport;
use sedgehill_core::units::TimeSpan;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::relay::{RelayAnswer, RelayCall};
use super::submission::SubmissionOutcome;

/// The longest frame that is accepted, in bytes. A job takes up to about 5 KB, a question about a
/// hundred workers about 4 KB; records are packed into frames of about [`RECORD_FRAME_BYTES`]. The
/// longest is a relayed read, of up to 1 MiB as the store counts it and less than twice that here.
const MAX_FRAME_BYTES: u32 = 2 << 20;
/// The most bytes of an append that is relayed. It fits into a frame of earlier releases as well,
/// which accept 1 MiB.
pub const MAX_RELAYED_APPEND_BYTES: usize = 512 << 10;
/// Keys and values of records are packed into one frame until they reach this many bytes.
pub const RECORD_FRAME_BYTES: usize = 128 << 10;

/// A question to the advice service that a box asks on behalf of the lead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelperQuestion {
    /// The step whose tasks are to be placed.
    pub step: StepId,
    /// The workers that the question is about.
    pub workers: Vec<WorkerId>,
}

impl From<&AdviceQuestion> for HelperQuestion {
    fn from(question: &AdviceQuestion) -> HelperQuestion {
        HelperQuestion { step: question.step, workers: question.workers.clone() }
    }
}

/// Consecutive records of a topic, as the store holds them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TopicRecords {
    /// The topic.
    pub topic: StoreTopic,
    /// The offset of the first record.
    pub from: u64,
    /// Keys and values.
    pub records: Vec<(String, Vec<u8>)>,
}

impl TopicRecords {
    /// Returns the offset after the last record.
    pub fn end(&self) -> u64 {
        self.from + self.records.len() as u64
    }

    /// Packs records that begin at offset `from` into parts that each fit into a frame.
    pub fn pack(topic: StoreTopic, from: u64, records: &[KeyedRecord]) -> Vec<TopicRecords> {
        let mut parts: Vec<TopicRecords> = Vec::new();
        let mut part_bytes = RECORD_FRAME_BYTES;
        for (record, offset) in records.iter().zip(from..) {
            if part_bytes >= RECORD_FRAME_BYTES {
                parts.push(TopicRecords { topic, from: offset, records: Vec::new() });
                part_bytes = 0;
            }
            part_bytes += record.key.len() + record.value.len();
            let part = parts.last_mut().expect("the first record starts a part");
            part.records.push((record.key.clone(), record.value.to_vec()));
        }
        parts
    }
}

/// The job states that follow from a range of records of a topic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TopicSummary {
    /// The topic.
    pub topic: StoreTopic,
    /// The offset of the first record of the range.
    pub from: u64,
    /// The offset after the last record of the range.
    pub end: u64,
    /// The jobs that the records are about, with their state at the time of sending.
    pub jobs: Vec<JobSummary>,
}

impl TopicSummary {
    /// Returns the states of all jobs, with the ends of the topics that they come from. A job takes
    /// about 12 bytes, so a frame holds some 80,000 jobs.
    pub fn of_all(replica: &CellReplica, jobs_end: u64, progress_end: u64) -> [TopicSummary; 2] {
        let jobs = replica.ids().map(|job| JobSummary::of(replica, job)).collect();
        [
            TopicSummary { topic: StoreTopic::Progress, from: 0, end: progress_end, jobs },
            TopicSummary { topic: StoreTopic::Jobs, from: 0, end: jobs_end, jobs: Vec::new() },
        ]
    }

    /// Summarizes records, with one summary for each contiguous range of a topic. A summary holds
    /// the jobs of its records whose state in `replica` differs from what `filter` records as sent
    /// before.
    pub fn summarize(
        parts: &[TopicRecords],
        replica: &CellReplica,
        filter: &mut SummaryFilter,
    ) -> Vec<TopicSummary> {
        let mut ranges: Vec<(TopicSummary, BTreeSet<JobId>)> = Vec::new();
        for part in parts {
            let continues = |(range, _): &&mut (TopicSummary, BTreeSet<JobId>)| {
                range.topic == part.topic && range.end == part.from
            };
            let ids = part.records.iter().filter_map(|(key, _)| CellRecord::decode_key(key).ok());
            let ids = ids.map(|(_, id)| id);
            match ranges.iter_mut().find(continues) {
                Some((range, jobs)) => {
                    range.end = part.end();
                    jobs.extend(ids);
                }
                None => {
                    let TopicRecords { topic, from, .. } = *part;
                    let range = TopicSummary { topic, from, end: part.end(), jobs: Vec::new() };
                    ranges.push((range, ids.collect()));
                }
            }
        }
        let mut changed = |job| filter.changes(JobSummary::of(replica, job));
        let summary = |(range, jobs): (TopicSummary, BTreeSet<JobId>)| TopicSummary {
            jobs: jobs.into_iter().filter_map(&mut changed).collect(),
            ..range
        };
        ranges.into_iter().map(summary).collect()
    }
}

/// Proves up to which point the lead knows the store, and when that was complete.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ViewProof {
    /// The version of the configuration in force at the lead.
    pub config: u64,
    /// How long ago this version was known to be the newest.
    pub config_age: TimeSpan,
    /// The offset up to which the lead has read the jobs topic.
    pub jobs_end: u64,
    /// The offset up to which the lead has read the progress topic.
    pub progress_end: u64,
    /// How long ago both topics were known to end at these offsets.
    pub cell_age: TimeSpan,
}

/// The answer to a question for the state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateAnswer {
    /// The job is known and has this state.
    Known(JobState),
    /// There is no such job, or it belongs to another organisation.
    NoJob,
    /// The box that was asked cannot tell at the moment.
    Untold,
}

/// A message on the link between a box and the lead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// The first frame on a connection: a box introduces itself to the lead.
    Hello {
        /// The name of the box.
        name: BoxName,
        /// The share of a core that the box can use if it leads.
        strength: BoxStrength,
        /// Whether the box understands [`SubmissionOutcome::Deferred`] and
        /// [`SubmissionOutcome::Rejected`]. Earlier releases ignore this field and send none.
        takes_refusals: bool,
    },
    /// Sent regularly by the lead as a sign of life.
    Ping {
        /// Whether the store answers the lead. If not, boxes that the store does answer claim the
        /// lead sooner.
        store_answers: bool,
        /// The strength of the strongest box that the lead knows of.
        strongest: BoxStrength,
        /// Whether the lead understands [`PeerFrame::Unsettled`]. Earlier releases ignore this field
        /// and send none; a frame that they do not know ends their link.
        takes_unsettled: bool,
    },
    /// The lead asks a box to query the advice service.
    AskAdvice(HelperQuestion),
    /// A box returns the answer of the advice service.
    Advice {
        /// The question as it was asked.
        question: HelperQuestion,
        /// The workers that may run the step, with their tickets; none if the service did not
        /// answer.
        allowed: Option<Vec<(WorkerId, std::sync::Arc<str>)>>,
        /// How long the tickets are valid.
        valid: TimeSpan,
    },
    /// A box hands in a job or a cancellation of a caller.
    Submit {
        /// Identifies the submission; the answer repeats it.
        number: u64,
        /// The job.
        job: JobId,
        /// The job itself, or its cancellation.
        record: CellRecord,
    },
    /// The lead returns the outcome of a submission.
    Submitted {
        /// The number of the submission.
        number: u64,
        /// Whether the record is in the store.
        outcome: SubmissionOutcome,
    },
    /// A box that does not know the jobs asks for the state of one.
    AskState {
        /// Identifies the question; the answer repeats it.
        number: u64,
        /// The job.
        job: JobId,
        /// The organisation of the caller; none if callers need no key.
        caller: Option<OrganisationName>,
    },
    /// The lead returns the state of a job.
    State {
        /// The number of the question.
        number: u64,
        /// The state, as far as the lead knows it.
        answer: StateAnswer,
    },
    /// Records that the lead has read or written, for boxes that stand by to lead.
    Records(TopicRecords),
    /// The job states that follow from such records, for the boxes that do not stand by.
    Summary(TopicSummary),
    /// A box that knows no job states asks for those of all jobs.
    AskSummaries,
    /// Tells a box whether it is to stand by, that is, to follow all records so that it could lead.
    StandBy(bool),
    /// Whether the lead sends job states to the boxes that do not stand by. If not, they ask for
    /// each state that a caller wants.
    SendsSummaries(bool),
    /// A box that is sent no job states asks how many jobs of a queue wait.
    AskWaiting {
        /// Identifies the question; the answer repeats it.
        number: u64,
        /// The queue.
        queue: QueueName,
    },
    /// The lead returns how many jobs of a queue wait.
    Waiting {
        /// The number of the question.
        number: u64,
        /// The count; none if the lead does not know the jobs at the moment.
        count: Option<u64>,
    },
    /// The lead asks a box to make a call to the store.
    Relay {
        /// Identifies the call; the answer repeats it.
        number: u64,
        /// The call to make.
        call: RelayCall,
    },
    /// A box returns the outcome of a relayed call.
    Relayed {
        /// The number of the call.
        number: u64,
        /// The answer of the store, or the error.
        answer: RelayAnswer,
    },
    /// A box asks the lead for a [`ViewProof`], and says whether it could relay calls to the store.
    Probe {
        /// Identifies the question; the answer repeats it.
        number: u64,
        /// Whether the store answers this box.
        store_answers: bool,
    },
    /// A box that the store does not answer asks for records that it missed.
    Fetch {
        /// The topic.
        topic: StoreTopic,
        /// The first missing offset.
        from: u64,
    },
    /// The newest record of the configuration, for a box that cannot read it from the store.
    Config(Vec<u8>),
    /// The lead answers a probe.
    Proof {
        /// The number of the question.
        number: u64,
        /// How far the views of the lead reach; none if it has not read all topics yet.
        proof: Option<ViewProof>,
    },
    /// A box reports jobs that it may have put into the store by itself, so that the lead does not
    /// refuse them.
    Unsettled(UnsettledReport),
}

/// The first byte of an encoded [`PeerFrame::Hello`].
const HELLO_TAG: u8 = 0;
/// The first byte of an encoded [`PeerFrame::Ping`].
const PING_TAG: u8 = 1;
/// The encoded last field of a [`PeerFrame::Hello`] or [`PeerFrame::Ping`] of releases without it:
/// the sender does not understand what the field stands for.
const NOT_UNDERSTOOD: u8 = 0;

impl PeerFrame {
    /// Encodes the frame with its length in front.
    pub fn encode(&self) -> Rc<[u8]> {
        let body = postcard::to_stdvec(self).expect("every frame can be encoded");
        let length = u32::try_from(body.len()).expect("frames are shorter than 4 GiB");
        let mut bytes = Vec::with_capacity(body.len() + 4);
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&body);
        bytes.into()
    }

    /// Decodes a frame without its length.
    fn decode(body: &[u8]) -> Result<PeerFrame, postcard::Error> {
        match body.first() {
            Some(&(HELLO_TAG | PING_TAG)) => decode_with_defaults(body, &[NOT_UNDERSTOOD]),
            _ => postcard::from_bytes(body),
        }
    }
}

/// Writes a frame to a link.
pub async fn write_frame(stream: &mut OwnedWriteHalf, frame: &PeerFrame) -> std::io::Result<()> {
    stream.write_all(&frame.encode()).await
}

/// Reads a frame from a link. It must not be cancelled midway: the rest of the frame would be taken
/// as the next one.
pub async fn read_frame(stream: &mut OwnedReadHalf) -> std::io::Result<PeerFrame> {
    let length = stream.read_u32().await?;
    if length > MAX_FRAME_BYTES {
        return Err(std::io::Error::other("the frame exceeds the length limit"));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    PeerFrame::decode(&body).map_err(std::io::Error::other)
}
