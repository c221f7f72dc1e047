//! Processes of the binary.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use eyre::{OptionExt, WrapErr};

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct BinaryProcess {
    child: Child,
    /// Address that it printed.
    pub address: SocketAddr,
}

impl BinaryProcess {
    /// Starts the binary and waits until it has printed its address.
    pub fn start(binary: &Path, arguments: &[&str]) -> eyre::Result<Self> {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .wrap_err("the binary does not start")?;
        let stdout = child.stdout.take().ok_or_eyre("no output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().strip_prefix("listening ");
        let address = address.ok_or_eyre("no address was printed")?.parse()?;
        Ok(Self { child, address })
    }

    /// Starts a stand-in.
    pub fn start_standin(binary: &Path, kind: &str, settings: &str) -> eyre::Result<Self> {
        let listen = "127.0.0.1:0";
        let arguments = ["standin", "--listen", listen, "--settings", settings, kind];
        Self::start(binary, &arguments)
    }

    /// Identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for BinaryProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// The binary that was built beside this example.
pub fn built_binary() -> eyre::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent);
    Ok(folder.ok_or_eyre("no build folder")?.join("amaranthgw"))
}
