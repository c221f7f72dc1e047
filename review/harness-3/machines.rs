//! Machines that run a gateway with the command and the settings of the deploy file, as the platform does: a process
//! that ends is started again with the settings in effect then.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::gateways::Folder;

/// Time from the end of a process until it is started again.
const RESTART: Duration = Duration::from_millis(300);

/// A machine with one gateway, whose process is killed when it is dropped.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    control: SocketAddr,
    metrics: SocketAddr,
    zone: String,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    restart_at: Option<Instant>,
    /// Whether the platform has asked the process to end.
    is_stopped: bool,
    /// Times at which its processes ended by themselves.
    pub own_ends: Vec<Instant>,
}

impl Machine {
    /// A machine `number` in `zone`, at free ports of a loopback address of its own; nothing runs yet.
    pub fn new(root: &Path, folder: &Folder, number: usize, zone: &str) -> Self {
        let host = format!("127.0.1.{}", 1 + number);
        let listen = || TcpListener::bind(format!("{host}:0")).expect("a free port");
        // All are bound at once, so that they differ.
        let listeners = [listen(), listen(), listen(), listen()];
        let at = |index: usize| listeners[index].local_addr().expect("bound");
        let name = format!("edge-{zone}-{number}");
        Self {
            front: at(0),
            ready: at(1),
            control: at(2),
            metrics: at(3),
            zone: zone.to_owned(),
            root: root.to_owned(),
            settings: folder.0.join(format!("{name}.jsonc")),
            log: folder.0.join(format!("{name}.log")),
            name,
            child: None,
            restart_at: None,
            is_stopped: false,
            own_ends: Vec::new(),
        }
    }

    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// The platform writes the settings, with `grace_s` as given.
    pub fn write_settings(&self, store: SocketAddr, seeds: &[SocketAddr], grace_s: &str) {
        let template = fs::read_to_string(self.root.join("deploy/gateway.jsonc")).expect("the template");
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let settings = template
            .replace("{{node_name|json}}", &format!("\"{}\"", self.name))
            .replace("{{zone|json}}", &format!("\"{}\"", self.zone))
            .replace("{{listen.front|json}}", &format!("\"{}\"", self.front))
            .replace("{{listen.ready|json}}", &format!("\"{}\"", self.ready))
            .replace("{{listen.control|json}}", &format!("\"{}\"", self.control))
            .replace("{{ip}}:7341", &self.metrics.to_string())
            .replace("{{platform.address|json}}", &format!("\"{store}\""))
            .replace("{{seeds|json}}", &format!("[{}]", seeds.join(",")))
            .replace("{{bounds.grace_s}}", grace_s)
            .replace("{{bounds.budget_ratio}}", "0.2")
            .replace("{{bounds.budget_slack}}", "88")
            .replace("{{bounds.budget_window_s}}", "10");
        assert!(!settings.contains("{{"), "the template has an unknown field");
        fs::write(&self.settings, settings).expect("a settings file");
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let mut command = Command::new(self.root.join("target/release/amaranthgw"));
        command
            .arg("gateway")
            .current_dir(&self.root)
            .env("AMARANTHGW_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        self.child = Some(command.spawn().expect("the gateway of the build"));
        self.is_stopped = false;
    }

    /// Notices the end of the process, and starts it again some time after.
    pub fn look_after(&mut self, now: Instant) {
        let has_ended = self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))));
        if has_ended {
            self.child = None;
            self.restart_at = Some(now + RESTART);
            if !self.is_stopped {
                self.own_ends.push(now);
            }
        }
        if self.restart_at.is_some_and(|at| at <= now) {
            self.restart_at = None;
            self.start();
        }
    }

    /// Sends `signal` to the process; `TERM` asks it to end.
    pub fn signal(&mut self, signal: &str) {
        self.is_stopped |= signal == "TERM";
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            Command::new("kill").args([&format!("-{signal}"), &id]).status().ok();
        }
    }

    /// The last line that the process wrote.
    pub fn last_line(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let line = text.lines().last().unwrap_or("").to_owned();
        // Without the path of the temporary folder.
        line.rsplit('/').next().unwrap_or("").to_owned()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            child.kill().ok();
            child.wait().ok();
        }
    }
}
