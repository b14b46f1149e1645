//! Stand-in runners, which run tasks under leases, and the ledger of everything that they ran.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connections, Reply, Request};
use crate::json::{self, Json, quote};

/// The longest lease that a runner grants.
pub const MAX_HOLD_MS: u64 = 10_000;
/// How long a stop takes.
const STOP_MS: u64 = 200;
/// The most connections that a runner takes.
const MAX_CONNECTIONS: usize = 64;
/// The most ends in one answer.
const ENDS_AT_ONCE: usize = 500;
/// The reading of each runner's clock when the stand-ins begin.
const CLOCK_START_MS: u64 = 1_000;

/// A run of a task, as a runner saw it. Times are milliseconds since the stand-ins began.
#[derive(Debug, Clone)]
pub struct LedgerRun {
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub started: u64,
    pub ended: Option<u64>,
    pub how: &'static str,
    /// The number of the end.
    pub number: u64,
    /// When note of the end was taken.
    pub noted: Option<u64>,
    /// The lease of the runner lapsed between the end and its note.
    pub lapsed_unnoted: bool,
}

/// Everything that was seen, in the order in which it happened.
pub struct Ledger {
    began: Instant,
    pub runs: Mutex<Vec<LedgerRun>>,
    lines: Mutex<Vec<String>>,
}

impl Ledger {
    pub fn new() -> Arc<Ledger> {
        Arc::new(Ledger { began: Instant::now(), runs: Mutex::default(), lines: Mutex::default() })
    }

    /// Milliseconds since the stand-ins began.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>8} ms  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Returns the record.
    pub fn record(&self) -> String {
        self.lines.lock().unwrap().join("\n") + "\n"
    }
}

/// When and how a run ends by itself; none if it does not. The arguments are the task, the run and its start.
pub type Course = Arc<dyn Fn(&str, u64, u64) -> Option<(u64, &'static str)> + Send + Sync>;

struct Run {
    run: u64,
    /// The place in the ledger.
    entry: usize,
    ends: Option<(u64, &'static str)>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    entry: usize,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    end_count: u64,
    refused_up_to: HashMap<String, u64>,
}

/// A runner.
pub struct Runner {
    pub id: String,
    pub born: u64,
    ledger: Arc<Ledger>,
    course: Course,
    state: Mutex<State>,
    /// Cut off from all boxes: calls get no answer, and their connections go silent for good.
    cut: AtomicBool,
    lost: AtomicBool,
    /// Of a thousand orders, so many are not answered and carried out late.
    late_permille: AtomicU64,
    orders: AtomicU64,
    /// The connections of boxes.
    pub connections: Arc<Connections>,
}

impl Runner {
    pub fn new(id: String, ledger: Arc<Ledger>, course: Course) -> Arc<Runner> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
        let runner = Arc::new(Runner {
            id,
            born: born as u64,
            ledger,
            course,
            state: Mutex::default(),
            cut: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            late_permille: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            connections: Arc::new(Connections::limited(MAX_CONNECTIONS)),
        });
        let ticking = runner.clone();
        std::thread::spawn(move || {
            loop {
                ticking.advance(&mut ticking.state.lock().unwrap());
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        runner
    }

    /// Cuts the runner off from all boxes, or heals the cut.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        self.ledger.note(format!(
            "{} {}",
            self.id,
            if cut { "is cut off" } else { "is reached again" }
        ));
    }

    /// Loses the runner for good: it says nothing more, and nothing runs there.
    pub fn lose(&self) {
        self.lost.store(true, Ordering::SeqCst);
        self.set_cut(true);
        self.state.lock().unwrap().runs.clear();
    }

    /// Whether the runner is lost for good.
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::SeqCst)
    }

    /// The number of runs at present.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    /// Whether it runs a task of a job.
    pub fn runs_job(&self, job: &str) -> bool {
        self.state.lock().unwrap().runs.keys().any(|task| task.starts_with(job))
    }

    /// Whether it runs a task.
    pub fn runs_task(&self, task: &str) -> bool {
        self.state.lock().unwrap().runs.contains_key(task)
    }

    fn clock(&self) -> u64 {
        CLOCK_START_MS + self.ledger.now()
    }

    /// Ends what is over by now.
    fn advance(&self, state: &mut State) {
        let now = self.ledger.now();
        let lapsed = self.clock() > state.lease_until;
        let due: Vec<(u64, String, &'static str)> = state
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let own = run.ends.filter(|(at, _)| *at <= now);
                let (at, how) = own.or(lapsed.then_some((now, "lapsed")))?;
                Some((at, task.clone(), how))
            })
            .collect();
        for (_, task, how) in due {
            self.end(state, &task, how);
        }
        if lapsed {
            let mut runs = self.ledger.runs.lock().unwrap();
            state.ends.iter().for_each(|end| runs[end.entry].lapsed_unnoted = true);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(Run { run, entry, .. }) = state.runs.remove(task) else { return };
        state.end_count += 1;
        let number = state.end_count;
        state.ends.push(End { number, task: task.to_owned(), run, how, entry });
        refuse_up_to(state, task, run);
        {
            let mut runs = self.ledger.runs.lock().unwrap();
            let ended = &mut runs[entry];
            (ended.ended, ended.how, ended.number) = (Some(self.ledger.now()), how, number);
        }
        self.ledger.note(format!("{} end {number}: {task} run {run} {how}", self.id));
    }

    /// Has a share of the orders left unanswered and carried out late.
    pub fn set_late(&self, permille: u64) {
        self.late_permille.store(permille, Ordering::SeqCst);
    }

    /// Draws whether an order is late, and by how much.
    fn draw_delay(&self, request: &Request) -> Option<Duration> {
        if !request.path.starts_with("/sedgehill/run-") {
            return None;
        }
        let number = self.orders.fetch_add(1, Ordering::SeqCst) + self.born;
        let drawn = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23) >> 8;
        let is_late = drawn % 1_000 < self.late_permille.load(Ordering::SeqCst);
        is_late.then(|| Duration::from_millis(2_000 + drawn / 1_000 % 10_000))
    }

    /// Answers a call of a box.
    pub fn answer(self: &Arc<Runner>, request: Request) -> Reply {
        if self.cut.load(Ordering::SeqCst) {
            return Reply::Silent;
        }
        if let Some(delay) = self.draw_delay(&request) {
            let runner = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                runner.ledger.note(format!("{} carries out an order {delay:?} late", runner.id));
                runner.answer_now(&request)
            });
            return Reply::Silent;
        }
        self.answer_now(&request)
    }

    fn answer_now(&self, request: &Request) -> Reply {
        let reply = match request.headers.get("target-instance") == Some(&self.id) {
            true => self.execute(request),
            false => Reply::json(421, "{}".to_owned()),
        };
        match self.cut.load(Ordering::SeqCst) {
            true => Reply::Silent,
            false => reply,
        }
    }

    fn execute(&self, request: &Request) -> Reply {
        let Some(order) = json::parse(&request.body) else {
            return Reply::json(400, "{}".to_owned());
        };
        match request.path.as_str() {
            "/sedgehill/run-start" => self.start(&order),
            "/sedgehill/run-stop" => self.stop(&order),
            "/sedgehill/hold" => self.hold(&order),
            _ => Reply::json(404, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> Reply {
        Reply::json(409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", self.clock()))
    }

    fn done(&self) -> Reply {
        Reply::json(200, format!("{{\"clock_ms\":{}}}", self.clock()))
    }

    /// Takes the token of a call. Returns whether the call may be carried out.
    fn admits(&self, state: &mut State, order: &Json) -> bool {
        let token = order.number("fencing_token").unwrap_or(0);
        let admitted = token >= state.token;
        state.token = state.token.max(token);
        admitted
    }

    fn extend_lease(&self, state: &mut State, order: &Json) {
        if let Some(until) = order.number("deadline_ms") {
            state.lease_until = state.lease_until.max(until.min(self.clock() + MAX_HOLD_MS));
        }
    }

    fn start(&self, order: &Json) -> Reply {
        let (Some(task), Some(run)) = (order.text("task"), order.number("run")) else {
            return Reply::json(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if !self.admits(&mut state, order) {
            return self.refuse("fence");
        }
        if order.number("deadline_ms").is_none_or(|until| until < self.clock()) {
            return self.refuse("late");
        }
        self.extend_lease(&mut state, order);
        if state.runs.get(task).is_some_and(|known| known.run == run) {
            return self.done();
        }
        if state.refused_up_to.get(task).is_some_and(|highest| run <= *highest) {
            return self.refuse("old");
        }
        let started = self.ledger.now();
        let token = state.token;
        let mut runs = self.ledger.runs.lock().unwrap();
        runs.push(LedgerRun {
            task: task.to_owned(),
            run,
            runner: self.id.clone(),
            started,
            ended: None,
            how: "",
            number: 0,
            noted: None,
            lapsed_unnoted: false,
        });
        let entry = runs.len() - 1;
        drop(runs);
        let ends = (self.course)(task, run, started);
        state.runs.insert(task.to_owned(), Run { run, entry, ends });
        self.ledger
            .note(format!("{} starts {task} run {run} on an order with token {token}", self.id));
        self.done()
    }

    fn stop(&self, order: &Json) -> Reply {
        let (Some(task), Some(run)) = (order.text("task"), order.number("run")) else {
            return Reply::json(400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if !self.admits(&mut state, order) {
            return self.refuse("fence");
        }
        self.ledger.note(format!("{} is told to stop {task} run {run}", self.id));
        let at = self.ledger.now() + STOP_MS;
        match state.runs.get_mut(task).filter(|known| known.run == run) {
            Some(known) => {
                let sooner = known.ends.is_none_or(|(ends, _)| ends > at);
                known.ends = if sooner { Some((at, "stopped")) } else { known.ends };
            }
            None => refuse_up_to(&mut state, task, run),
        }
        self.done()
    }

    fn hold(&self, order: &Json) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(order.number("wait_ms").unwrap_or(0));
        let mut taken = false;
        loop {
            {
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                if !self.admits(&mut state, order) {
                    return self.refuse("fence");
                }
                if !std::mem::replace(&mut taken, true) {
                    self.extend_lease(&mut state, order);
                    self.take_note(&mut state, order.number("last_seen").unwrap_or(0));
                }
                if !state.ends.is_empty() || Instant::now() >= deadline {
                    return self.account(&state);
                }
            }
            if self.cut.load(Ordering::SeqCst) {
                return Reply::Silent;
            }
            std::thread::sleep(Duration::from_millis(3));
        }
    }

    fn take_note(&self, state: &mut State, last_seen: u64) {
        let now = self.ledger.now();
        let mut runs = self.ledger.runs.lock().unwrap();
        let before = state.ends.len();
        state.ends.retain(|end| {
            let seen = end.number <= last_seen;
            if seen {
                runs[end.entry].noted.get_or_insert(now);
            }
            !seen
        });
        drop(runs);
        if state.ends.len() < before {
            self.ledger.note(format!("{} note is taken of the ends up to {last_seen}", self.id));
        }
    }

    fn account(&self, state: &State) -> Reply {
        let running =
            state.runs.iter().map(|(task, run)| format!("[{},{},\"\",100]", quote(task), run.run));
        let running: Vec<String> = running.collect();
        let listed = state.ends.iter().take(ENDS_AT_ONCE);
        let ended: Vec<String> = listed
            .map(|end| {
                format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how)
            })
            .collect();
        if state.ends.len() > ENDS_AT_ONCE {
            let (listed, all) = (ended.len(), state.ends.len());
            self.ledger.note(format!(
                "{} lists {listed} of {all} ends, {} running",
                self.id,
                running.len()
            ));
        }
        Reply::json(
            200,
            format!(
                "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended_at\":[{}]}}",
                self.clock(),
                self.born,
                running.join(","),
                ended.join(",")
            ),
        )
    }
}

fn refuse_up_to(state: &mut State, task: &str, run: u64) {
    let highest = state.refused_up_to.entry(task.to_owned()).or_default();
    *highest = run.max(*highest);
}
