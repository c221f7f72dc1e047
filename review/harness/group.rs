//! Stand-in for a group of model servers: ranks that execute all passes together and take orders.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, serve};
use crate::json::Json;
use crate::record::Record;

pub const SETS: usize = 3;
pub const EXPERTS: usize = 96;
pub const PLACES: usize = 11;
pub const SPARE: usize = 4;
pub const EXPERT_MB: f64 = 780.0;
pub const LINK_MBPS: f64 = 44_000.0;
/// Duration of a pass with five steps of a token.
const PASS: Duration = Duration::from_millis(60);
const EPOCH: u64 = 1;

type Map = Vec<Vec<Vec<u16>>>;

/// Disruptions of the group; shares of 0 switch them off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disruption {
    /// Share of the orders that get no answer and are carried out 2 to 12 s later.
    pub late_share: f64,
    /// Share of the servers that spoil answers.
    pub spoiling_share: f64,
    /// Share of the answers of these that are written once more where the next one is due.
    pub extra_share: f64,
}

/// Each disruption is in force for its longest time of the site's list, and begins anew.
const PERIOD: Duration = Duration::from_millis(6_500);
const LATE_TIME: Duration = Duration::from_millis(5_500);
const EXTRA_TIME: Duration = Duration::from_millis(5_000);

struct Rank {
    map: u64,
    maps: BTreeMap<u64, Map>,
    prepared: Option<u64>,
    /// Version being copied, and when the copy is complete.
    copying: Option<(u64, Instant)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    fence: u64,
    sequence: u64,
    is_spoiling: bool,
}

struct World {
    step: u64,
    ranks: Vec<Rank>,
    popular: Vec<Vec<u16>>,
    counts: Vec<u64>,
    switches: u32,
    mixed: u32,
    random: u64,
    disruption: Disruption,
    started_at: Instant,
    late_orders: u32,
    extra_answers: u32,
}

/// Answers what is no call to a rank: rank, request and connection.
pub type Fallback =
    Arc<dyn Fn(usize, &Request, &mut TcpStream) -> std::io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Group {
    world: Arc<Mutex<World>>,
    record: Record,
    pub name: String,
    pub fallback: Option<Fallback>,
}

impl World {
    /// A number from 0 to below 1 (xorshift).
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Whether a disruption that lasts for `time` of each period is in force.
    fn is_in_force(&self, time: Duration) -> bool {
        self.started_at.elapsed().as_millis() % PERIOD.as_millis() < time.as_millis()
    }

    fn draw_below(&mut self, limit: usize) -> usize {
        (self.draw() * limit as f64) as usize
    }

    /// Chooses other popular experts.
    fn shift(&mut self) {
        for set in 0..SETS {
            self.popular[set] = (0..9).map(|_| self.draw_below(EXPERTS) as u16).collect();
        }
    }
}

impl Group {
    pub fn new(ranks: usize, seed: u64, disruption: Disruption, record: &Record) -> Self {
        let map: Map = (0..SETS)
            .map(|_| {
                let of = |rank: usize| {
                    (0..EXPERTS as u16).filter(move |it| usize::from(*it) % ranks == rank)
                };
                (0..ranks).map(|rank| of(rank).collect()).collect()
            })
            .collect();
        let mut world = World {
            step: 0,
            ranks: Vec::new(),
            popular: vec![Vec::new(); SETS],
            counts: vec![0; SETS * EXPERTS],
            switches: 0,
            mixed: 0,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            disruption,
            started_at: Instant::now(),
            late_orders: 0,
            extra_answers: 0,
        };
        let mut order: Vec<usize> = (0..ranks).collect();
        for rank in 0..ranks {
            let other = rank + world.draw_below(ranks - rank);
            order.swap(rank, other);
        }
        let spoiling = (disruption.spoiling_share * ranks as f64) as usize;
        for rank in 0..ranks {
            let is_spoiling = order[..spoiling].contains(&rank);
            world.ranks.push(Rank {
                map: 0,
                maps: BTreeMap::from([(0, map.clone())]),
                prepared: None,
                copying: None,
                armed: None,
                held: None,
                highest: 0,
                fence: 0,
                sequence: 0,
                is_spoiling,
            });
            if is_spoiling {
                record.line(&format!("rank {rank} is one that spoils answers"));
            }
        }
        world.shift();
        Self {
            world: Arc::new(Mutex::new(world)),
            record: record.clone(),
            name: "g-1".into(),
            fallback: None,
        }
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the ranks at `hosts` and their passes; returns the addresses.
    pub fn start(&self, hosts: &[IpAddr]) -> std::io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for (rank, host) in hosts.iter().enumerate() {
            let listener = TcpListener::bind((*host, 0))?;
            addresses.push(listener.local_addr()?);
            let group = self.clone();
            serve(listener, move |reader, _peer| {
                group.answer_all(rank, reader)
            });
        }
        let group = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(PASS);
                group.pass();
            }
        });
        Ok(addresses)
    }

    pub fn shift(&self) {
        self.world().shift();
        self.record.line("other experts are in demand");
    }

    /// Switches of the group and passes with different maps.
    pub fn results(&self) -> (u32, u32) {
        let world = self.world();
        (world.switches, world.mixed)
    }

    pub fn counts(&self) -> (u32, u32) {
        let world = self.world();
        (world.late_orders, world.extra_answers)
    }

    /// Begins a pass of all ranks unless one of them holds it.
    fn pass(&self) {
        let mut world = self.world();
        let now = Instant::now();
        for rank in &mut world.ranks {
            if let Some((version, _)) = rank.copying.take_if(|(_, at)| *at <= now) {
                rank.prepared = Some(version);
            }
        }
        let next = world.step + 1;
        if world.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        world.step = next;
        let mut is_switch = false;
        for rank in &mut world.ranks {
            if let Some((version, _)) = rank.armed.take_if(|(_, step)| *step == next) {
                rank.map = version;
                rank.prepared = None;
                is_switch = true;
            }
        }
        world.switches += u32::from(is_switch);
        let first = &world.ranks[0];
        let content = |rank: &Rank| rank.maps.get(&rank.map).cloned();
        let is_mixed = world
            .ranks
            .iter()
            .any(|rank| rank.map != first.map || content(rank) != content(first));
        if is_switch {
            let maps: Vec<u64> = world.ranks.iter().map(|rank| rank.map).collect();
            self.record
                .line(&format!("pass {next} begins, maps of the ranks: {maps:?}"));
        }
        if is_mixed {
            world.mixed += 1;
            if is_switch {
                self.record
                    .line(&format!("MAP: pass {next} began with different maps"));
            }
        }
        for set in 0..SETS {
            for expert in 0..EXPERTS {
                let is_popular = world.popular[set].contains(&(expert as u16));
                world.counts[set * EXPERTS + expert] += if is_popular { 60 } else { 4 };
            }
        }
    }

    fn answer_all(&self, rank: usize, mut reader: BufReader<TcpStream>) {
        // An answer that is written once more where the next one is due.
        let mut extra: Option<String> = None;
        while let Ok(request) = read_request(&mut reader) {
            if let Some(copy) = extra.take() {
                self.record.line(&format!(
                    "rank {rank} writes an earlier answer once more, before the one to {} {}",
                    request.method, request.target
                ));
                self.world().extra_answers += 1;
                if reader.get_mut().write_all(copy.as_bytes()).is_err() {
                    return;
                }
            }
            let is_call = ["/report", "/picked", "/order"].contains(&request.path());
            if let Some(fallback) = self.fallback.as_ref().filter(|_| !is_call) {
                if fallback(rank, &request, reader.get_mut()).is_err() {
                    return;
                }
                continue;
            }
            let Some((status, body)) = self.answer(rank, &request) else {
                continue;
            };
            // Servers echo the id of a request in its answer.
            let id = request.header("x-amaranthgw-request-id");
            let id = id.map_or(String::new(), |id| {
                format!("x-amaranthgw-request-id: {id}\r\n")
            });
            let text = format!(
                "HTTP/1.1 {status} .\r\n{id}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
            let mut world = self.world();
            let is_spoiling = world.ranks[rank].is_spoiling && world.is_in_force(EXTRA_TIME);
            if is_spoiling && world.draw() < world.disruption.extra_share {
                extra = Some(text);
            }
        }
    }

    /// The answer to a call; `None` for an order that gets none.
    fn answer(&self, rank: usize, request: &Request) -> Option<(u16, String)> {
        match request.path() {
            "/report" => Some((200, self.report(rank))),
            "/picked" if request.target.contains("lists") => {
                let world = self.world();
                let row = &world.ranks[rank];
                let (version, experts) = (row.map, experts_of(row, row.map, rank));
                let prepared = row.prepared.map_or("null".to_owned(), |version| {
                    let experts = experts_of(row, version, rank);
                    format!("{{\"version\":{version},\"experts\":{experts}}}")
                });
                let map = format!("{{\"version\":{version},\"experts\":{experts}}}");
                Some((200, format!("{{\"map\":{map},\"prepared\":{prepared}}}")))
            }
            "/picked" => {
                let world = self.world();
                let (step, counts) = (world.step, &world.counts);
                Some((
                    200,
                    format!("{{\"step\":{step},\"epoch\":{EPOCH},\"counts\":{counts:?}}}"),
                ))
            }
            "/order" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let order = Json::parse(&text)?;
                let mut world = self.world();
                let share = world.disruption.late_share;
                if world.is_in_force(LATE_TIME) && world.draw() < share {
                    let after = Duration::from_secs_f64(2.0 + 10.0 * world.draw());
                    world.late_orders += 1;
                    drop(world);
                    let brief: String = text.chars().take(90).collect();
                    self.record.line(&format!(
                        "rank {rank} leaves an order unanswered, carried out in {} ms: {brief}",
                        after.as_millis()
                    ));
                    let group = self.clone();
                    std::thread::spawn(move || {
                        std::thread::sleep(after);
                        group.carry_out(rank, &order, true);
                    });
                    return None;
                }
                drop(world);
                Some((self.carry_out(rank, &order, false), "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn carry_out(&self, rank: usize, order: &Json, is_late: bool) -> u16 {
        let mut world = self.world();
        let (step, ranks) = (world.step, world.ranks.len());
        let status = world.ranks[rank].take(order, rank, ranks, step);
        drop(world);
        let number = |name| order.get(name).and_then(Json::number).unwrap_or_default();
        let op = order.get("op").and_then(Json::text).unwrap_or_default();
        if is_late || (op != "prepare" && op != "disarm") {
            self.record.line(&format!(
                "rank {rank}: {op} version {} step {} fence {}{}: {status}, last pass {step}",
                number("version"),
                number("step"),
                number("fence"),
                if is_late { " (late)" } else { "" }
            ));
        }
        status
    }

    fn report(&self, rank: usize) -> String {
        let world = self.world();
        let row = &world.ranks[rank];
        let optional = |value: Option<u64>| value.map_or("null".to_owned(), |it| it.to_string());
        let armed = row.armed.map_or("null".to_owned(), |(version, step)| {
            format!("{{\"version\":{version},\"step\":{step}}}")
        });
        format!(
            "{{\"stage\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":{},\"waiting\":0,\"running\":8,\"kv_used\":41000,\
             \"kv_total\":372000,\"handles\":0,\"pace\":1.0,\"born\":1764936000000,\
             \"group\":{{\"name\":\"{}\",\"epoch\":{EPOCH},\"rank\":{rank},\"state\":\"open\"}},\
             \"size\":{},\"step\":{},\"map\":{},\"prepared\":{},\"armed\":{armed},\"held\":{}}}",
            row.sequence,
            self.name,
            world.ranks.len(),
            world.step,
            row.map,
            optional(row.prepared),
            optional(row.held)
        )
    }
}

/// Experts of one rank in each set of a map.
fn experts_of(row: &Rank, version: u64, rank: usize) -> String {
    let sets = row
        .maps
        .get(&version)
        .map(|map| map.iter().map(|set| &set[rank]).collect::<Vec<_>>());
    format!("{:?}", sets.unwrap_or_default())
}

impl Rank {
    /// Carries out an order after pass `step` has begun; returns the status of the answer.
    fn take(&mut self, order: &Json, rank: usize, ranks: usize, step: u64) -> u16 {
        let number = |name| order.get(name).and_then(Json::number);
        if let Some(fence) = number("fence") {
            if fence < self.fence {
                return 412;
            }
            self.fence = fence;
        }
        if number("epoch").is_some_and(|epoch| epoch != EPOCH) {
            return 409;
        }
        let (version, at) = (number("version").unwrap_or(0), number("step").unwrap_or(0));
        let status = match order.get("op").and_then(Json::text).unwrap_or_default() {
            "prepare" => self.prepare(version, order, rank, ranks),
            "arm" if self.armed == Some((version, at)) => 200,
            "arm" if self.prepared != Some(version) || at <= step || self.armed.is_some() => 409,
            "arm" => {
                self.armed = Some((version, at));
                202
            }
            "disarm" if version == self.map => 409,
            "disarm" => {
                self.armed.take_if(|(armed, _)| *armed == version);
                200
            }
            "hold" if self.held == Some(at) => 200,
            "hold" if at <= step || self.held.is_some() => 409,
            "hold" => {
                self.held = Some(at);
                202
            }
            "go" if self.held == Some(at) => {
                self.held = None;
                202
            }
            "go" => 409,
            _ => 400,
        };
        self.sequence += u64::from(status == 202);
        status
    }

    fn prepare(&mut self, version: u64, order: &Json, rank: usize, ranks: usize) -> u16 {
        let map: Map = order
            .get("map")
            .map(Json::list)
            .unwrap_or_default()
            .iter()
            .map(|set| {
                let experts = |rank: &Json| {
                    let numbers = rank.list().iter().filter_map(Json::number);
                    numbers.map(|expert| expert as u16).collect()
                };
                set.list().iter().map(experts).collect()
            })
            .collect();
        let is_known =
            self.prepared == Some(version) || self.copying.is_some_and(|it| it.0 == version);
        if is_known && self.maps.get(&version) == Some(&map) {
            return 200;
        }
        if version <= self.highest || self.armed.is_some() || map.len() != SETS {
            return 409;
        }
        let Some(current) = self.maps.get(&self.map) else {
            return 409;
        };
        let mut copies = 0;
        for (set, now) in map.iter().zip(current) {
            if set.len() != ranks || set.iter().any(|experts| experts.len() > PLACES) {
                return 409;
            }
            let has = |expert: u16| set.iter().any(|experts| experts.contains(&expert));
            if !(0..EXPERTS as u16).all(has) {
                return 409;
            }
            let new = set[rank]
                .iter()
                .filter(|it| !now[rank].contains(it))
                .count();
            if new > SPARE {
                return 409;
            }
            copies += new;
        }
        self.highest = version;
        self.maps.insert(version, map);
        self.prepared = None;
        let time = copies as f64 * EXPERT_MB * 8.0 / LINK_MBPS;
        self.copying = Some((version, Instant::now() + Duration::from_secs_f64(time)));
        202
    }
}
