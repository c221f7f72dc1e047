//! Gateways as processes of their own, with the command and the settings of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A folder that is removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

/// Addresses of one gateway.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    metrics: SocketAddr,
}

impl Place {
    /// The place of the gateway `number` in `zone`, at free ports of a loopback address of its own.
    pub fn new(number: usize, zone: &str) -> Self {
        let host = format!("127.0.{}.{}", 1 + number / 200, 1 + number % 200);
        let listen = || TcpListener::bind(format!("{host}:0")).expect("a free port");
        // All are bound at once, so that they differ.
        let listeners = [listen(), listen(), listen(), listen()];
        let at = |index: usize| listeners[index].local_addr().expect("bound");
        Self {
            name: format!("edge-{zone}-{number}"),
            zone: zone.to_owned(),
            front: at(0),
            ready: at(1),
            control: at(2),
            metrics: at(3),
        }
    }
}

/// A running gateway; killed when it is dropped.
pub struct Gateway {
    pub place: Place,
    child: Child,
}

impl Gateway {
    /// Starts a gateway at `place` with the command of the deploy file.
    pub fn start(root: &Path, folder: &Folder, place: &Place, store: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let template = fs::read_to_string(root.join("deploy/gateway.jsonc")).expect("the template");
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let settings = template
            .replace("{{node_name|json}}", &format!("\"{}\"", place.name))
            .replace("{{zone|json}}", &format!("\"{}\"", place.zone))
            .replace("{{listen.front|json}}", &format!("\"{}\"", place.front))
            .replace("{{listen.ready|json}}", &format!("\"{}\"", place.ready))
            .replace("{{listen.control|json}}", &format!("\"{}\"", place.control))
            .replace("{{ip}}:7341", &place.metrics.to_string())
            .replace("{{platform.address|json}}", &format!("\"{store}\""))
            .replace("{{seeds|json}}", &format!("[{}]", seeds.join(",")))
            .replace("{{bounds.grace_s}}", "8")
            .replace("{{bounds.budget_ratio}}", "0.2")
            .replace("{{bounds.budget_slack}}", "88")
            .replace("{{bounds.budget_window_s}}", "10");
        assert!(!settings.contains("{{"), "the template has an unknown field");
        let file = folder.0.join(format!("{}.jsonc", place.name));
        fs::write(&file, settings).expect("a settings file");
        let log = folder.0.join(format!("{}.log", place.name));
        let log = fs::File::create(log).expect("a log file");
        let mut command = Command::new(root.join("target/release/amaranthgw"));
        command
            .arg("gateway")
            .current_dir(root)
            .env("AMARANTHGW_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        let child = command.spawn().expect("the gateway of the build");
        Self {
            place: place.clone(),
            child,
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
