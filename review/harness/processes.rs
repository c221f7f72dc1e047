//! Processes of the project under test, their settings and signals.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Command of the deploy file; `build` there puts the program at this path.
const PROGRAM: &str = "target/release/amaranthgw";

/// A process that the case started, by its place in `STARTED`.
#[derive(Clone, Copy)]
pub struct Process(usize);

/// Folder for the settings files of this run.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("amaranthgw-review-{}", std::process::id()))
}

impl Process {
    /// Starts the role with the text of its settings file, as the platform does.
    pub fn start(role: &str, name: &str, settings: &str) -> io::Result<Self> {
        std::fs::create_dir_all(folder())?;
        let path = folder().join(format!("{name}.jsonc"));
        std::fs::write(&path, settings)?;
        let log = std::fs::File::create(folder().join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("AMARANTHGW_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started.push(child);
        Ok(Self(started.len() - 1))
    }

    pub fn signal(self, signal: &str) {
        let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        let id = started[self.0].id().to_string();
        drop(started);
        // The shell has `kill` built in, so no other program is needed.
        let command = format!("kill -{signal} {id}");
        drop(Command::new("sh").args(["-c", &command]).status());
    }

    pub fn has_ended(self) -> bool {
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        !matches!(started[self.0].try_wait(), Ok(None))
    }
}

/// Ends all processes that the case started and removes its folder.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for child in started.iter_mut() {
        drop(child.kill());
        drop(child.wait());
    }
    started.clear();
    drop(started);
    if std::env::var_os("KEEP_LOGS").is_none() {
        drop(std::fs::remove_dir_all(folder()));
    }
}

/// A free port at all of `hosts`, different at each call.
pub fn free_port(hosts: &[IpAddr]) -> u16 {
    static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let Ok(first) = TcpListener::bind((hosts[0], 0)) else {
            continue;
        };
        let port = first.local_addr().map_or(0, |address| address.port());
        drop(first);
        let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        let is_free = |host: &IpAddr| TcpListener::bind((*host, port)).is_ok();
        if port > 0 && !taken.contains(&port) && hosts.iter().all(is_free) {
            taken.push(port);
            return port;
        }
    }
}

/// Addresses of one gateway.
pub struct Gateway {
    pub process: Process,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Starts a gateway with the template of the deploy file filled in.
pub fn start_gateway(name: &str, zone: &str, store: SocketAddr) -> io::Result<Gateway> {
    start_gateway_with(name, zone, store, None)
}

/// The same, with the port at which the agents of rank groups listen.
pub fn start_gateway_with(
    name: &str,
    zone: &str,
    store: SocketAddr,
    agent_port: Option<u16>,
) -> io::Result<Gateway> {
    let host = store.ip();
    let address = || SocketAddr::new(host, free_port(&[host]));
    let (front, ready, node, metrics) = (address(), address(), address(), address());
    let agent_port = agent_port.unwrap_or_else(|| free_port(&[host]));
    let settings = format!(
        "{{\"vm\": \"{name}\", \"domain\": \"{zone}\", \"caller_listen\": \"{front}\", \
         \"ready_listen\": \"{ready}\", \"node_listen\": \"{node}\", \
         \"metrics_listen\": \"{metrics}\", \"store\": \"{store}\", \"seeds\": [\"{node}\"], \
         \"agent_port\": {agent_port}, \"grace\": \"8s\", \"retry_ratio\": 0.2, \
         \"retry_slack\": 88, \"retry_window\": \"10s\"}}"
    );
    let process = Process::start("gateway", name, &settings)?;
    Ok(Gateway {
        process,
        front,
        ready,
    })
}

/// Waits until `is_done`; `false` after `limit`.
pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
