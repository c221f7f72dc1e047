//! Running the binary as a child process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use super::{POLL_INTERVAL, WAIT_TIMEOUT};

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    addresses: Vec<(String, SocketAddr)>,
}

impl TestProcess {
    /// Starts the binary and waits until it has printed an address for each of `labels`.
    pub fn start(arguments: &[&str], labels: &[&str]) -> Self {
        let is_logging = std::env::var_os("AMARANTHGW_TEST_LOG").is_some();
        let stderr = if is_logging {
            Stdio::inherit()
        } else {
            Stdio::null()
        };
        let mut child = Command::new(env!("CARGO_BIN_EXE_amaranthgw"))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut reader = BufReader::new(stdout).lines();
        let mut addresses = Vec::new();
        while addresses.len() < labels.len() {
            let line = reader
                .next()
                .expect("the process prints its addresses")
                .expect("text");
            let (label, address) = line.split_once(' ').expect("label and address");
            addresses.push((label.to_owned(), address.parse().expect("an address")));
        }
        Self { child, addresses }
    }

    /// Returns the address that the process printed after `label`.
    pub fn address(&self, label: &str) -> SocketAddr {
        let found = self.addresses.iter().find(|(found, _)| found == label);
        found.expect("a printed label").1
    }

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "kill -{signal}");
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Returns the exit code if the process has exited; -1 if a signal killed it.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self
            .child
            .try_wait()
            .expect("the process can be waited for");
        status.map(|status| status.code().unwrap_or(-1))
    }
}

impl TestProcess {
    /// Waits until the process exits and returns its exit code; -1 if a signal killed it.
    pub async fn wait_exit(&mut self) -> i32 {
        let wait = async {
            loop {
                if let Some(code) = self.exit_code() {
                    return code;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait)
            .await
            .expect("the process ends")
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ended = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Runs the binary until it exits and returns its exit code and its standard output and error.
pub fn run_command(arguments: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_amaranthgw"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code().unwrap_or(-1), text)
}
