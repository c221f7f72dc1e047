//! Child processes of the `amaranthgw` binary.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use eyre::{OptionExt, WrapErr};

/// A running child process, killed on drop.
#[derive(Debug)]
pub struct BinaryProcess {
    child: Child,
    /// Address that the process printed at its start.
    pub address: SocketAddr,
}

impl BinaryProcess {
    /// Starts the binary with `arguments` and waits until it prints its address.
    pub fn start(binary: &Path, arguments: &[&str]) -> eyre::Result<Self> {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .wrap_err("failed to start the binary")?;
        let stdout = child
            .stdout
            .take()
            .ok_or_eyre("the process has no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ");
        let address = address
            .ok_or_eyre("the process printed no listening address")?
            .parse()?;
        Ok(Self { child, address })
    }

    /// Starts a stand-in of `kind` with `settings` as JSON on a free port.
    pub fn start_standin(binary: &Path, kind: &str, settings: &str) -> eyre::Result<Self> {
        let listen = "127.0.0.1:0";
        let arguments = ["standin", "--listen", listen, "--settings", settings, kind];
        Self::start(binary, &arguments)
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for BinaryProcess {
    fn drop(&mut self) {
        // The process may have ended already, so the results are ignored.
        let _ended = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Path of the binary in the build folder of this example.
pub fn built_binary() -> eyre::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent);
    Ok(folder
        .ok_or_eyre("the example is not in a build folder")?
        .join("amaranthgw"))
}
