//! Crowds of clients that stall or send more than a box can hold. The box must stay alive, within its memory and its
//! descriptors, and must answer ordinary calls beside the crowd.
//!
//! The tests run one at a time, because each measures a whole process.

mod cell_mode;
mod crowd;
mod own_mode;
mod usage;

use tokio::sync::{Mutex, MutexGuard};

/// Waits until no other test of this program runs. Returns the guard that the test must hold.
async fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}
