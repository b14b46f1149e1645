//! The way to a runner: a proxy that passes calls on, can be cut, and can carry out single calls late.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Call, Reply, Server};
use crate::record::Record;

/// How long a call may take at the runner.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Tells for a call whether it gets no answer and is passed on after this time only.
type LatePlan = dyn FnMut(&Call) -> Option<Duration> + Send;

pub struct Way {
    server: Mutex<Option<Server>>,
    runner_port: AtomicU16,
    cut: AtomicBool,
    plan: Mutex<Box<LatePlan>>,
    record: Record,
}

impl Way {
    pub fn new(
        record: Record,
        plan: impl FnMut(&Call) -> Option<Duration> + Send + 'static,
    ) -> std::io::Result<Arc<Way>> {
        let way = Arc::new(Way {
            server: Mutex::default(),
            runner_port: AtomicU16::new(0),
            cut: AtomicBool::new(false),
            plan: Mutex::new(Box::new(plan)),
            record,
        });
        let called = way.clone();
        let server = Server::start("127.0.0.1", 0, Arc::new(move |call| called.answer(call)))?;
        *way.server.lock().unwrap() = Some(server);
        Ok(way)
    }

    /// Leads to a runner from now on. Returns the address of this way.
    pub fn lead_to(&self, runner: SocketAddr) -> SocketAddr {
        self.runner_port.store(runner.port(), Ordering::SeqCst);
        self.server.lock().unwrap().as_ref().expect("a way has a server").address
    }

    /// Cuts the way, or ends the cut.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn runner(&self) -> SocketAddr {
        (Ipv4Addr::LOCALHOST, self.runner_port.load(Ordering::SeqCst)).into()
    }

    fn answer(self: &Arc<Self>, call: Call) -> Reply {
        if self.cut.load(Ordering::SeqCst) {
            return Reply::Silence;
        }
        let delay = (self.plan.lock().unwrap())(&call);
        if let Some(delay) = delay {
            let way = self.clone();
            std::thread::spawn(move || way.carry_out_late(&call, delay));
            return Reply::Silence;
        }
        let answer = call.pass_on(self.runner(), CALL_TIMEOUT);
        match answer {
            _ if self.cut.load(Ordering::SeqCst) => Reply::Silence,
            Some((status, body)) => Reply::json(status, body),
            None => Reply::Close,
        }
    }

    /// Passes a call on that has reached the runner's side of a cut before it began.
    fn carry_out_late(&self, call: &Call, delay: Duration) {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let to = call.headers.get("target-instance").cloned().unwrap_or_default();
        self.record.line(&format!("to be done late: {} at {to} {body}", call.path));
        std::thread::sleep(delay);
        let answer = call.pass_on(self.runner(), CALL_TIMEOUT);
        self.record.line(&format!("done late: {} at {to} {body} -> {answer:?}", call.path));
    }
}
