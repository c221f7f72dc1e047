//! What the cases share: loopback addresses, the record, and the processes of the project.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::http::{Handler, Outcome, Request, Server};
use super::store::Store;

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        drop(writeln!(file, "{at:9.3} {text}"));
    }
}

/// A stage with a store, on loopback addresses that no other run uses.
pub struct Stage {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    net: (u8, u8),
    binary: PathBuf,
    folder: PathBuf,
    children: Vec<Process>,
    node_port: u16,
    agent_port: u16,
    metrics_port: u16,
    _server: Server,
}

/// A process of the project.
pub struct Process {
    pub name: String,
    child: Option<Child>,
    command: (PathBuf, String, PathBuf),
    log: PathBuf,
}

impl Process {
    fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let (binary, role, settings) = &self.command;
        let child = Command::new(binary)
            .arg(role)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("AMARANTHGW_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.kill();
        self.start()
    }
}

impl Stage {
    pub fn new(record: Record, binary: PathBuf) -> std::io::Result<Self> {
        let pid = std::process::id();
        let net = (64 + (pid >> 8 & 63) as u8, (pid & 255) as u8);
        let folder = std::env::temp_dir().join(format!("amaranthgw-review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let store = Store::new();
        let calls = store.clone();
        let handler: Handler =
            Arc::new(move |request: &Request| -> Outcome { calls.handle(request) });
        let address = SocketAddr::new(ip(net, 1), 0);
        let server = Server::start(address, handler)?;
        let free = |host| -> std::io::Result<u16> {
            Ok(TcpListener::bind(SocketAddr::new(ip(net, host), 0))?
                .local_addr()?
                .port())
        };
        Ok(Self {
            record,
            store,
            store_address: server.address,
            net,
            binary,
            folder,
            children: Vec::new(),
            node_port: free(2)?,
            agent_port: free(3)?,
            metrics_port: free(4)?,
            _server: server,
        })
    }

    /// Loopback address of a machine.
    pub fn ip(&self, host: u8) -> IpAddr {
        ip(self.net, host)
    }

    fn add(&mut self, name: &str, role: &str, settings: &str) -> std::io::Result<usize> {
        let path = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings)?;
        let mut process = Process {
            name: name.to_owned(),
            child: None,
            command: (self.binary.clone(), role.to_owned(), path),
            log: self.folder.join(format!("{name}.log")),
        };
        process.start()?;
        self.children.push(process);
        Ok(self.children.len() - 1)
    }

    /// Starts a gateway on the machine `host` of `zone`, with the settings of the deploy file's template; returns
    /// its number and the address for clients.
    pub fn add_gateway(
        &mut self,
        name: &str,
        host: u8,
        zone: &str,
        seeds: &[u8],
    ) -> std::io::Result<(usize, SocketAddr)> {
        let ip = self.ip(host);
        let free = || -> std::io::Result<SocketAddr> {
            TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()
        };
        let (front, ready) = (free()?, free()?);
        let node = SocketAddr::new(ip, self.node_port);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|host| format!("\"{}\"", SocketAddr::new(self.ip(*host), self.node_port)))
            .collect();
        let settings = format!(
            "{{\"vm\":\"{name}\",\"domain\":\"{zone}\",\"caller_listen\":\"{front}\",\
             \"ready_listen\":\"{ready}\",\"node_listen\":\"{node}\",\"metrics_listen\":\"{ip}:{}\",\
             \"store\":\"{}\",\"seeds\":[{}],\"agent_port\":{},\"grace\":\"8s\",\"retry_ratio\":0.2,\
             \"retry_slack\":88,\"retry_window\":\"10s\"}}",
            self.metrics_port,
            self.store_address,
            seeds.join(","),
            self.agent_port,
        );
        let process = self.add(name, "gateway", &settings)?;
        Ok((process, front))
    }

    /// Starts the agent beside the rank at `rank`, with the settings of the deploy file's template.
    pub fn add_agent(
        &mut self,
        name: &str,
        zone: &str,
        service: &str,
        rank: SocketAddr,
    ) -> std::io::Result<usize> {
        let ip = rank.ip();
        let settings = format!(
            "{{\"vm\":\"{name}\",\"domain\":\"{zone}\",\"service\":\"{service}\",\"rank\":\"{rank}\",\
             \"node_listen\":\"{ip}:{}\",\"metrics_listen\":\"{ip}:{}\",\"store\":\"{}\",\
             \"grace\":\"8s\",\"fenced_orders\":true}}",
            self.agent_port, self.metrics_port, self.store_address,
        );
        self.add(name, "agent", &settings)
    }

    pub fn process(&mut self, number: usize) -> &mut Process {
        &mut self.children[number]
    }

    /// Ends all processes; keeps their logs beside the record if `AMARANTHGW_LOGS` names a folder.
    pub fn end(&mut self) {
        for child in &mut self.children {
            child.kill();
        }
        if let Ok(target) = std::env::var("AMARANTHGW_LOGS") {
            for child in &self.children {
                let path = Path::new(&target).join(format!("{}.log", child.name));
                drop(std::fs::copy(&child.log, path));
            }
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.end();
    }
}

fn ip(net: (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, host))
}

/// Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| it.as_millis() as u64)
}

/// Waits until `is_met`; returns whether it was within `limit`.
pub fn wait_until(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let ends_at = Instant::now() + limit;
    while Instant::now() < ends_at {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    is_met()
}
