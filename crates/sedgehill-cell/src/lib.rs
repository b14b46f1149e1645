//! The decisions of one cell: which task of which job runs on which worker, and when.
//!
//! Like `sedgehill-core`, nothing here opens a socket, reads a clock or starts a thread. Time and
//! messages come in as arguments and orders go out as values, so the daemon and the tests drive the
//! same code.
//!
//! - [`job`] describes jobs as callers hand them in, and the policy of the queue they came through.
//! - [`organisation`] says who may call, and what each organisation may have running.
//! - [`progress`] is what must survive of a job's course.
//! - [`replica`] folds the cell's records into the jobs that every box knows.
//! - [`summary`] is what boxes are told of jobs that do not stand by to lead.
//! - [`standby`] decides which boxes do.
//! - [`authority`] decides which box leads the cell.
//! - [`timeout`] decides how long to wait for the store.
//! - [`silence`] tells connections that fell silent from peers that do not answer.
//! - [`crash_history`] is what is kept of workers that crash under a task.
//! - [`scheduler`] is the lead's own state: workers, runs, waiting tasks and orders.

pub mod authority;
pub mod crash_history;
pub mod ids;
pub mod job;
pub mod organisation;
pub mod progress;
pub mod replica;
pub mod scheduler;
pub mod silence;
pub mod standby;
mod stored;
pub mod summary;
pub mod timeout;
