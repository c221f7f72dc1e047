//! A plain request crashes each server that begins to run it, and comes again.

use std::io::{BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::clients::{KEYS, call, configure, request, wait_ready};
use crate::http::read_request;
use crate::processes::start_gateway;
use crate::record::Record;
use crate::servers::head;
use crate::store::Store;

/// Path of the request that crashes servers; it has neither a body nor parts of a prompt.
const DEADLY_PATH: &str = "/shelf/tins/17";
/// Interval at which it comes again, and how long the play takes.
const DEADLY_INTERVAL: Duration = Duration::from_millis(2_000);
const PLAY_TIME: Duration = Duration::from_secs(40);
/// Interval of the ordinary bookings, and their work.
const BOOKING_INTERVAL: Duration = Duration::from_millis(200);
const WORK: Duration = Duration::from_millis(30);
/// Time after which a crashed server is back.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
const BEAT: Duration = Duration::from_millis(1_200);
/// `touch_ms`, and the retries that BUDGET allows later than that after the third crash.
const TOUCH: Duration = Duration::from_millis(3_000);
const ALLOWED_RETRIES: usize = 3;
const CRASHES_UNTIL_KNOWN: usize = 3;

#[derive(Default)]
struct World {
    is_deadly: bool,
    /// When the deadly request reached a server, and whether that server crashed.
    arrivals: Vec<(Instant, bool)>,
    /// Bookings that a server had begun and lost in its crash.
    lost: Vec<String>,
    /// Bookings under way, by server.
    under_way: Vec<(String, String)>,
}

type SharedWorld = Arc<Mutex<World>>;

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone)]
struct CrashingServer {
    name: String,
    address: SocketAddr,
    world: SharedWorld,
    record: Record,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Until when the server is down after a crash.
    down_until: Arc<Mutex<Option<Instant>>>,
    /// Start of the incarnation, as Unix milliseconds.
    born: Arc<Mutex<u64>>,
}

impl CrashingServer {
    fn start(
        name: &str,
        host: IpAddr,
        world: &SharedWorld,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            world: Arc::clone(world),
            record: record.clone(),
            connections: Arc::default(),
            down_until: Arc::default(),
            born: Arc::new(Mutex::new(1_764_936_000_000)),
        };
        let served = server.clone();
        spawn(move || served.run(listener));
        Ok(server)
    }

    /// Accepts connections; closes the listener while the server is down.
    fn run(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let down_until = *lock(&self.down_until);
            if down_until.is_some_and(|until| until > Instant::now()) {
                listener = None;
                sleep(Duration::from_millis(5));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                *lock(&self.born) += 10_000;
                continue;
            };
            drop(open.set_nonblocking(true));
            if let Ok((stream, _peer)) = open.accept() {
                drop(stream.set_nonblocking(false));
                drop(stream.set_nodelay(true));
                let server = self.clone();
                lock(&self.connections).extend(stream.try_clone());
                spawn(move || server.answer_all(BufReader::new(stream)));
            } else {
                sleep(Duration::from_millis(2));
            }
        }
    }

    fn crash(&self) {
        *lock(&self.down_until) = Some(Instant::now() + DOWN_TIME);
        for connection in lock(&self.connections).drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        let mut world = lock(&self.world);
        let mut lost = Vec::new();
        world.under_way.retain(|(server, id)| {
            let is_lost = *server == self.name;
            if is_lost {
                lost.push(id.clone());
            }
            !is_lost
        });
        self.record
            .line(&format!("server {} crashes, with it {lost:?}", self.name));
        world.lost.extend(lost);
    }

    fn answer_all(&self, mut reader: BufReader<TcpStream>) {
        while let Ok(request) = read_request(&mut reader) {
            let id = request
                .header("x-amaranthgw-request-id")
                .unwrap_or_default()
                .to_owned();
            if request
                .header("x-amaranthgw-expect-instance")
                .is_some_and(|it| it != self.name)
            {
                let text = "HTTP/1.1 421 .\r\ncontent-length: 0\r\n\r\n";
                drop(reader.get_mut().write_all(text.as_bytes()));
                continue;
            }
            if request.path() == DEADLY_PATH {
                let mut world = lock(&self.world);
                let is_deadly = world.is_deadly;
                world.arrivals.push((Instant::now(), is_deadly));
                drop(world);
                self.record
                    .line(&format!("deadly request {id} reaches server {}", self.name));
                if is_deadly {
                    sleep(WORK);
                    self.crash();
                    return;
                }
            }
            lock(&self.world)
                .under_way
                .push((self.name.clone(), id.clone()));
            sleep(WORK);
            let text = head(&request, &self.name, "200 OK", "content-length: 4\r\n") + "done";
            let is_done = {
                let mut world = lock(&self.world);
                let before = world.under_way.len();
                world.under_way.retain(|(_, other)| *other != id);
                world.under_way.len() < before
            };
            if !is_done || reader.get_mut().write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Registers the server, and beats while it is not down.
    fn register(&self, store: &Store) {
        let (server, store) = (self.clone(), store.clone());
        spawn(move || {
            for beat in 1_u64.. {
                let is_down = lock(&server.down_until).is_some_and(|until| until > Instant::now());
                if !is_down {
                    let (address, born) = (server.address, *lock(&server.born));
                    let entry = format!(
                        "{{\"service\":\"lending-desk\",\"address\":\"{address}\",\"zone\":\"brum\",\
                         \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\
                         \"seq\":{beat},\"born\":{born}}}"
                    );
                    store.put(&format!("servers/{}", server.name), &entry);
                }
                sleep(BEAT);
            }
        });
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    match play(record, has_trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn play(record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let store = Store::start(host)?;
    configure(&store);
    let world: SharedWorld = Arc::default();
    lock(&world).is_deadly = has_trouble;
    for name in ["i-1", "i-2", "i-3"] {
        CrashingServer::start(name, host, &world, record)?.register(&store);
    }
    let mut fronts = Vec::new();
    for name in ["edge-brum-1", "edge-notts-1"] {
        let gateway = start_gateway(name, "brum", store.address)?;
        if !wait_ready(gateway.ready) {
            return Ok(Verdict::NotRun(format!("{name} is not ready")));
        }
        fronts.push(gateway.front);
    }
    let start = Instant::now();
    let mut running = Vec::new();
    let (mut bookings, mut deadly) = (0_u32, 0_u32);
    let counts: Arc<Mutex<Vec<u16>>> = Arc::default();
    while start.elapsed() < PLAY_TIME {
        sleep(BOOKING_INTERVAL);
        let front = fronts[bookings as usize % fronts.len()];
        let id = format!("booking.{bookings}");
        bookings += 1;
        let (sent, counts) = (record.clone(), Arc::clone(&counts));
        running.push(spawn(move || {
            let text = request("POST", "/booking/2f", &id, KEYS[0], 2_500, "one tin");
            let status = call(front, &text).map_or(0, |answer| answer.head.status);
            sent.line(&format!("client: {id} got {status}"));
            lock(&counts).push(status);
        }));
        if start.elapsed() >= DEADLY_INTERVAL * (deadly + 1) {
            let front = fronts[deadly as usize % fronts.len()];
            let id = format!("deadly.{deadly}");
            deadly += 1;
            let sent = record.clone();
            running.push(spawn(move || {
                let text = request("GET", DEADLY_PATH, &id, KEYS[1], 2_500, "");
                let status = call(front, &text).map_or(0, |answer| answer.head.status);
                sent.line(&format!("client: {id} got {status}"));
            }));
        }
    }
    for client in running {
        drop(client.join());
    }
    let world = lock(&world);
    let crashes: Vec<Instant> = world
        .arrivals
        .iter()
        .filter(|it| it.1)
        .map(|it| it.0)
        .collect();
    let known_at = crashes
        .get(CRASHES_UNTIL_KNOWN - 1)
        .map(|at| *at + WORK + TOUCH);
    let late = known_at.map_or(0, |known| {
        world.arrivals.iter().filter(|it| it.0 > known).count()
    });
    let statuses = lock(&counts);
    let whole = statuses.iter().filter(|status| **status == 200).count();
    record.line(&format!(
        "{deadly} deadly requests sent, {} reached servers, {} crashes; {late} reached servers later than \
         touch_ms after the third crash",
        world.arrivals.len(),
        crashes.len()
    ));
    record.line(&format!(
        "{whole} of {bookings} bookings answered with 200; begun and lost in crashes: {:?}",
        world.lost
    ));
    Ok(if late > ALLOWED_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
