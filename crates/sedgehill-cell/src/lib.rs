//! The scheduling decisions of one cell: which task of which job runs on which worker, and when.
//!
//! Like `sedgehill-core`, this crate opens no sockets, reads no clock and starts no threads. Time and
//! messages are passed in as arguments and orders are returned as values, so the daemon and the tests
//! drive the same code.
//!
//! - [`job`] describes submitted jobs and the policy of the queue that they came through.
//! - [`organisation`] holds the API keys of callers and the resource limits of each organisation.
//! - [`halls`] holds the data halls that operators have emptied.
//! - [`progress`] is the part of a job's state that is stored.
//! - [`replica`] builds the set of known jobs from the records of the cell; every box keeps one.
//! - [`summary`] is the short form of a job that the lead sends to boxes that do not stand by.
//! - [`standby`] chooses the boxes that stand by to take over the lead.
//! - [`authority`] decides which box leads the cell.
//! - [`reading`] decides how often a box reads the topics that every box follows.
//! - [`timeout`] derives call timeouts from measured answer times.
//! - [`call_slots`] limits the calls in flight to each worker.
//! - [`silence`] distinguishes silent connections from peers that do not answer.
//! - [`unsettled`] lists the jobs that boxes may have stored without the lead.
//! - [`stored`] decodes values that gained fields at their end.
//! - [`crash_history`] records the worker crashes under each task.
//! - [`scheduler`] is the state of the lead: workers, runs, waiting tasks and orders.

pub mod authority;
pub mod call_slots;
pub mod crash_history;
pub mod halls;
pub mod ids;
pub mod job;
pub mod organisation;
pub mod progress;
pub mod progress_parts;
pub mod reading;
pub mod replica;
pub mod scheduler;
pub mod silence;
pub mod standby;
pub mod stored;
pub mod summary;
pub mod timeout;
pub mod unsettled;
