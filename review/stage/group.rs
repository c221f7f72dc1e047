//! Stand-in of one rank group: ranks that take orders and run each pass together.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::http::{Handler, Outcome, Reply, Request, Server};
use super::json::Json;
use super::stage::{Record, unix_ms};

pub const SETS: usize = 3;
pub const EXPERTS: usize = 96;
/// Most experts of a set that a map may newly give to a rank.
const SPARE: usize = 4;
/// Age of what a report says, unless the rank's own machine asks.
pub const REPORT_LAG: Duration = Duration::from_millis(200);
/// Time in which a rank copies one expert: 780 MB at 44,000 Mbit/s.
const COPY_TIME: Duration = Duration::from_millis(142);
const PASS_TIME: Duration = Duration::from_millis(40);

/// Experts by set and rank.
type Map = Vec<Vec<Vec<u16>>>;

#[derive(Clone, Debug)]
struct Rank {
    map: (u64, Arc<Map>),
    prepared: Option<(u64, Arc<Map>)>,
    copying: Option<(u64, Arc<Map>, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
    highest: u64,
    orders: u64,
    counts: Vec<u64>,
    reports: VecDeque<(Instant, String)>,
}

/// What becomes of an order.
pub enum Fate {
    /// It is carried out and answered.
    Normal,
    /// It gets no answer; the case carries it out later.
    Lost,
}

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub rank: usize,
    pub op: String,
    pub fence: u64,
    pub body: Json,
}

struct State {
    step: u64,
    epoch: u64,
    ranks: Vec<Rank>,
    is_asked_by_own_machine: Vec<bool>,
    mixed: Vec<String>,
    switches: u64,
    answered: u64,
    lost: u64,
}

type Judge = Box<dyn Fn(&Group, &Order) -> Fate + Send + Sync>;

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    record: Record,
    born: u64,
    judge: Arc<Mutex<Option<Arc<Judge>>>>,
}

impl Group {
    pub fn new(ranks: usize, record: Record) -> Self {
        // Map 0 assigns experts in turn.
        let initial: Map = (0..SETS)
            .map(|_| {
                (0..ranks)
                    .map(|rank| {
                        (0..EXPERTS as u16)
                            .filter(|it| usize::from(*it) % ranks == rank)
                            .collect()
                    })
                    .collect()
            })
            .collect();
        let initial = Arc::new(initial);
        let rank = Rank {
            map: (0, initial),
            prepared: None,
            copying: None,
            armed: None,
            held: None,
            fence: 0,
            highest: 0,
            orders: 0,
            counts: vec![0; SETS * EXPERTS],
            reports: VecDeque::new(),
        };
        let state = State {
            step: 0,
            epoch: 1,
            ranks: vec![rank; ranks],
            is_asked_by_own_machine: vec![true; ranks],
            mixed: Vec::new(),
            switches: 0,
            answered: 0,
            lost: 0,
        };
        let group = Self {
            state: Arc::new(Mutex::new(state)),
            record,
            born: unix_ms(),
            judge: Arc::default(),
        };
        let passes = group.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(PASS_TIME);
                passes.run_pass();
            }
        });
        group
    }

    pub fn set_judge(&self, judge: Judge) {
        *self.judge.lock().unwrap_or_else(|it| it.into_inner()) = Some(Arc::new(judge));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Starts the server of a rank.
    pub fn serve(&self, rank: usize, address: SocketAddr) -> std::io::Result<Server> {
        let group = self.clone();
        let handler: Handler = Arc::new(move |request: &Request| group.handle(rank, request));
        Server::start(address, handler)
    }

    /// Whether an agent runs on the machine of `rank`. Other machines get reports of some hundred ms ago.
    pub fn set_own_machine(&self, rank: usize, is_up: bool) {
        self.lock().is_asked_by_own_machine[rank] = is_up;
    }

    pub fn has_own_machine(&self, rank: usize) -> bool {
        self.lock().is_asked_by_own_machine[rank]
    }

    /// Passes that began while ranks had different maps.
    pub fn mixed(&self) -> Vec<String> {
        self.lock().mixed.clone()
    }

    pub fn switches(&self) -> u64 {
        self.lock().switches
    }

    /// Orders that were answered, and those that weren't.
    pub fn order_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.answered, state.lost)
    }

    fn run_pass(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        for rank in &mut state.ranks {
            if rank.copying.as_ref().is_some_and(|(_, _, at)| *at <= now) {
                rank.prepared = rank.copying.take().map(|(version, map, _)| (version, map));
            }
        }
        let next = state.step + 1;
        if !state.ranks.iter().any(|rank| rank.held == Some(next)) {
            state.step = next;
            let mut has_switched = false;
            for rank in &mut state.ranks {
                if rank.armed.is_some_and(|(_, step)| step == next) {
                    rank.armed = None;
                    if let Some(prepared) = rank.prepared.clone() {
                        rank.map = prepared;
                        has_switched = true;
                    }
                }
            }
            state.switches += u64::from(has_switched);
            let first = state.ranks[0].map.clone();
            if state.ranks.iter().any(|rank| rank.map != first) {
                let versions: Vec<String> = state
                    .ranks
                    .iter()
                    .map(|rank| rank.map.0.to_string())
                    .collect();
                let line = format!("pass {next} begins with maps {}", versions.join(" "));
                if state.mixed.is_empty() {
                    self.record.line(&format!("MIXED {line}"));
                }
                state.mixed.push(line);
            } else if has_switched {
                self.record.line(&format!(
                    "pass {next} begins: all ranks switch to map {}",
                    first.0
                ));
            }
            count_choices(&mut state, next);
        }
        for index in 0..state.ranks.len() {
            let report = self.report(&state, index);
            let reports = &mut state.ranks[index].reports;
            reports.push_back((now, report));
            while reports.len() > 1 && now - reports[1].0 >= REPORT_LAG {
                reports.pop_front();
            }
        }
    }

    fn report(&self, state: &State, index: usize) -> String {
        let rank = &state.ranks[index];
        let number = |it: Option<u64>| it.map_or("null".to_owned(), |it| it.to_string());
        let armed = rank.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        format!(
            "{{\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\
             \"seq\":{},\"waiting\":0,\"running\":6,\"kv_used\":9000,\"kv_total\":372000,\"handles\":0,\
             \"group\":{{\"name\":\"g1\",\"epoch\":{},\"rank\":{index},\"state\":\"open\"}},\"size\":{},\
             \"step\":{},\"map\":{},\"prepared\":{},\"armed\":{armed},\"held\":{},\"pace\":1.0,\"born\":{}}}",
            rank.copying.is_some(),
            rank.orders,
            state.epoch,
            state.ranks.len(),
            state.step,
            rank.map.0,
            number(rank.prepared.as_ref().map(|it| it.0)),
            number(rank.held),
            self.born,
        )
    }

    fn handle(&self, index: usize, request: &Request) -> Outcome {
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => Reply::new(200, self.report_for(index)),
            ("GET", "/picked") => Reply::new(200, self.picked(index, &request.query)),
            ("POST", "/order") => return self.order(index, request),
            _ => Reply::new(404, "{}"),
        };
        let id = request
            .header("x-amaranthgw-request-id")
            .unwrap_or_default()
            .to_owned();
        Outcome::Answer(
            reply
                .with("Content-Type", "application/json")
                .with("X-Amaranthgw-Request-Id", id),
        )
    }

    fn report_for(&self, index: usize) -> String {
        let state = self.lock();
        if state.is_asked_by_own_machine[index] {
            return self.report(&state, index);
        }
        let reports = &state.ranks[index].reports;
        reports
            .front()
            .map_or_else(|| self.report(&state, index), |(_, report)| report.clone())
    }

    fn picked(&self, index: usize, query: &str) -> String {
        let state = self.lock();
        let rank = &state.ranks[index];
        if query.contains("lists") {
            let lists = |version: u64, map: &Map| {
                let sets: Vec<String> = map
                    .iter()
                    .map(|set| {
                        let experts: Vec<String> = set[index].iter().map(u16::to_string).collect();
                        format!("[{}]", experts.join(","))
                    })
                    .collect();
                format!("{{\"version\":{version},\"experts\":[{}]}}", sets.join(","))
            };
            let prepared = rank.prepared.as_ref();
            let prepared = prepared.map_or("null".to_owned(), |it| lists(it.0, &it.1));
            return format!(
                "{{\"map\":{},\"prepared\":{prepared}}}",
                lists(rank.map.0, &rank.map.1)
            );
        }
        let counts: Vec<String> = rank.counts.iter().map(u64::to_string).collect();
        format!(
            "{{\"step\":{},\"epoch\":{},\"counts\":[{}]}}",
            state.step,
            state.epoch,
            counts.join(","),
        )
    }

    fn order(&self, index: usize, request: &Request) -> Outcome {
        let Some(body) = Json::parse(&request.body) else {
            return Outcome::Answer(Reply::new(400, "{}"));
        };
        let order = Order {
            rank: index,
            op: body.word("op").to_owned(),
            fence: body.whole("fence"),
            body,
        };
        let judge = self
            .judge
            .lock()
            .unwrap_or_else(|it| it.into_inner())
            .clone();
        let fate = judge.map_or(Fate::Normal, |judge| judge(self, &order));
        if let Fate::Lost = fate {
            self.lock().lost += 1;
            self.record
                .line(&format!("{} gets no answer", text_of(&order)));
            return Outcome::Silent(Duration::from_secs(2));
        }
        let status = self.carry_out(&order, "");
        self.lock().answered += 1;
        let id = request
            .header("x-amaranthgw-request-id")
            .unwrap_or_default()
            .to_owned();
        Outcome::Answer(
            Reply::new(status, "{}")
                .with("Content-Type", "application/json")
                .with("X-Amaranthgw-Request-Id", id),
        )
    }

    /// Carries an order out; returns the status of its answer.
    pub fn carry_out(&self, order: &Order, note: &str) -> u16 {
        let mut state = self.lock();
        let status = apply(&mut state, order);
        self.record
            .line(&format!("{}{note}: {status}", text_of(order)));
        status
    }
}

fn text_of(order: &Order) -> String {
    let number = |name: &str| match order.body.get(name).and_then(Json::number) {
        Some(number) => format!(" {name} {number}"),
        None => String::new(),
    };
    format!(
        "order to rank {}: {}{}{}, fence {}",
        order.rank,
        order.op,
        number("version"),
        number("step"),
        order.fence,
    )
}

fn apply(state: &mut State, order: &Order) -> u16 {
    let (step, epoch) = (state.step, state.epoch);
    let rank = &mut state.ranks[order.rank];
    if order.body.whole("epoch") != epoch {
        return 409;
    }
    if order.fence < rank.fence {
        return 412;
    }
    rank.fence = order.fence;
    let (version, at) = (order.body.whole("version"), order.body.whole("step"));
    let status = match order.op.as_str() {
        "prepare" => {
            let known = rank.prepared.as_ref().map(|it| it.0);
            let copying = rank.copying.as_ref().map(|it| it.0);
            if known == Some(version) || copying == Some(version) {
                200
            } else if version <= rank.highest || rank.armed.is_some() {
                409
            } else {
                let map = read_map(&order.body);
                let new = |set: &Vec<Vec<u16>>, known: &Vec<Vec<u16>>| {
                    let (set, known) = (&set[order.rank], &known[order.rank]);
                    set.iter().filter(|it| !known.contains(it)).count()
                };
                let new: Vec<usize> = map
                    .iter()
                    .zip(rank.map.1.iter())
                    .map(|(set, known)| new(set, known))
                    .collect();
                if new.iter().any(|it| *it > SPARE) {
                    409
                } else {
                    let copies = new.iter().sum::<usize>() as u32;
                    rank.highest = version;
                    rank.copying =
                        Some((version, Arc::new(map), Instant::now() + COPY_TIME * copies));
                    202
                }
            }
        }
        "arm" => {
            let is_prepared = rank.prepared.as_ref().is_some_and(|it| it.0 == version);
            if rank.armed == Some((version, at)) {
                200
            } else if !is_prepared || at <= step {
                409
            } else {
                rank.armed = Some((version, at));
                202
            }
        }
        "disarm" => {
            if rank.map.0 == version {
                409
            } else {
                if rank.armed.is_some_and(|it| it.0 == version) {
                    rank.armed = None;
                }
                200
            }
        }
        "hold" => {
            if rank.held == Some(at) {
                200
            } else if at <= step || rank.held.is_some() {
                409
            } else {
                rank.held = Some(at);
                202
            }
        }
        "go" => {
            if rank.held == Some(at) {
                rank.held = None;
            }
            200
        }
        _ => 400,
    };
    if status == 202 {
        rank.orders += 1;
    }
    status
}

fn read_map(body: &Json) -> Map {
    let sets = body.get("map").map_or(&[][..], Json::list);
    let experts = |rank: &Json| {
        rank.list()
            .iter()
            .filter_map(Json::number)
            .map(|it| it as u16)
            .collect()
    };
    sets.iter()
        .map(|set| set.list().iter().map(experts).collect())
        .collect()
}

/// Adds what the requests of a pass chose: some experts are liked more, others every few seconds.
fn count_choices(state: &mut State, pass: u64) {
    let liked = (pass / 100) as usize * 7;
    let mut shares: BTreeMap<usize, u64> = (0..EXPERTS).map(|it| (it, 2)).collect();
    for place in 0..3 {
        shares.insert((liked + 12 * place) % EXPERTS, 60);
    }
    for rank in &mut state.ranks {
        for set in 0..SETS {
            for (expert, share) in &shares {
                rank.counts[set * EXPERTS + expert] += share;
            }
        }
    }
}
