//! Commands and their options.

use std::net::SocketAddr;
use std::path::PathBuf;

use amaranthgw_core::{DomainId, OperatorId, VmId};
use amaranthgw_fleet::config::OutScope;
use amaranthgw_standins::StandinKind;
use bpaf::Bpaf;

use crate::bench::BenchKind;

/// Files that `check` reads.
#[derive(Clone, Debug, Bpaf)]
pub(super) struct CheckFiles {
    /// Settings of an entry
    #[bpaf(argument("FILE"))]
    pub(super) entry: Vec<PathBuf>,
    /// Settings of a sidecar
    #[bpaf(argument("FILE"))]
    pub(super) sidecar: Vec<PathBuf>,
    /// List of customers; goes with --plans
    #[bpaf(argument("FILE"))]
    pub(super) customers: Option<PathBuf>,
    /// List of plans; goes with --customers
    #[bpaf(argument("FILE"))]
    pub(super) plans: Option<PathBuf>,
}

/// The operators' two lists.
#[derive(Clone, Debug, Bpaf)]
pub(super) struct ListFiles {
    /// List of customers
    #[bpaf(argument("FILE"))]
    pub(super) customers: PathBuf,
    /// List of plans
    #[bpaf(argument("FILE"))]
    pub(super) plans: PathBuf,
}

/// Who changes the configuration, and where it is kept.
#[derive(Clone, Debug, Bpaf)]
pub(super) struct OperatorOptions {
    /// Address of the key-value service
    #[bpaf(argument("IP:PORT"))]
    pub(super) store: SocketAddr,
    /// Name of the operator
    #[bpaf(argument("NAME"))]
    pub(super) operator: OperatorId,
}

/// Where the fleet is listed.
#[derive(Clone, Debug, Bpaf)]
pub(super) struct FleetOptions {
    /// Address of the VM list
    #[bpaf(argument("IP:PORT"))]
    pub(super) vm_list: SocketAddr,
}

/// What is taken out or brought back.
#[derive(Clone, Debug, Bpaf)]
pub(super) enum ScopeOption {
    /// One VM
    #[bpaf(command)]
    Vm {
        #[bpaf(positional("VM"))]
        vm: VmId,
    },
    /// A whole failure domain
    #[bpaf(command)]
    Domain {
        #[bpaf(positional("DOMAIN"))]
        domain: DomainId,
    },
}

impl From<ScopeOption> for OutScope {
    fn from(option: ScopeOption) -> Self {
        match option {
            ScopeOption::Vm { vm } => Self::Vm(vm),
            ScopeOption::Domain { domain } => Self::Domain(domain),
        }
    }
}

/// Load balancer for expert-parallel model groups
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(super) enum CliCommand {
    /// Run an entry: take callers' requests
    #[bpaf(command)]
    Entry {
        /// Settings of the process
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Log the events of single requests too
        verbose: bool,
    },
    /// Run a sidecar: give one target its work
    #[bpaf(command)]
    Sidecar {
        /// Settings of the process
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Log the events of single requests too
        verbose: bool,
    },
    /// Run a gateway: pass callers' requests straight to targets on the users' platform
    #[bpaf(command)]
    Gateway {
        /// Settings of the process
        #[bpaf(env("AMARANTHGW_CONFIG"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Run an agent beside one rank of a rank group on the users' platform
    #[bpaf(command)]
    Agent {
        /// Settings of the process
        #[bpaf(env("AMARANTHGW_CONFIG"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Check settings and lists without changing anything
    #[bpaf(command)]
    Check {
        #[bpaf(external(check_files))]
        files: CheckFiles,
    },
    /// Put the two lists in force
    #[bpaf(command)]
    Apply {
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        #[bpaf(external(list_files))]
        lists: ListFiles,
    },
    /// Take a VM or failure domain out of service
    #[bpaf(command)]
    Out {
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        #[bpaf(external(fleet_options))]
        fleet: FleetOptions,
        /// Also where the VM list does not name it
        force: bool,
        #[bpaf(external(scope_option))]
        scope: ScopeOption,
    },
    /// Bring a VM or failure domain back into service
    #[bpaf(command)]
    Back {
        #[bpaf(external(operator_options))]
        operator: OperatorOptions,
        #[bpaf(external(scope_option))]
        scope: ScopeOption,
    },
    /// Show the nodes, the targets and which configuration is in force where
    #[bpaf(command)]
    Status {
        /// Address of the key-value service
        #[bpaf(argument("IP:PORT"))]
        store: SocketAddr,
        #[bpaf(external(fleet_options))]
        fleet: FleetOptions,
        /// Print JSON
        json: bool,
    },
    /// Report the service-level burn of each plan and service
    #[bpaf(command)]
    Report {
        #[bpaf(external(fleet_options))]
        fleet: FleetOptions,
        /// Print JSON
        json: bool,
    },
    /// Show the events that name a request, target or failure domain
    #[bpaf(command)]
    Explain {
        #[bpaf(external(fleet_options))]
        fleet: FleetOptions,
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Show the whole system at work within this process
    #[bpaf(command)]
    Demo,
    /// Measure the system on this machine
    #[bpaf(command)]
    Bench {
        /// Make few calls, only to see that it works
        quick: bool,
        /// Print JSON
        json: bool,
        /// hops, move or control
        #[bpaf(positional("KIND"))]
        kind: BenchKind,
    },
    /// Run a stand-in for the platform or a target, for tests
    #[bpaf(command)]
    Standin {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// Settings as a JSON object
        #[bpaf(argument("JSON"), fallback("{}".to_owned()))]
        settings: String,
        /// store, vms, engine, plain, weights, group or proxy
        #[bpaf(positional("KIND"))]
        kind: StandinKind,
    },
}
