//! Commands and options; their doc comments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use amaranthgw_core::{DomainId, OperatorId, VmId};
use amaranthgw_fleet::config::OutScope;
use amaranthgw_standins::StandinKind;
use bpaf::Bpaf;

use crate::bench::BenchKind;

/// Files to validate
#[derive(Clone, Debug, Bpaf)]
pub(super) struct CheckFiles {
    /// Settings file of an entry; may be repeated
    #[bpaf(argument("FILE"))]
    pub(super) entry: Vec<PathBuf>,
    /// Settings file of a sidecar; may be repeated
    #[bpaf(argument("FILE"))]
    pub(super) sidecar: Vec<PathBuf>,
    /// List of customers; requires --plans
    #[bpaf(argument("FILE"))]
    pub(super) customers: Option<PathBuf>,
    /// List of plans; requires --customers
    #[bpaf(argument("FILE"))]
    pub(super) plans: Option<PathBuf>,
    /// Configuration of routes, services and workspaces, as it would be written to the store
    #[bpaf(argument("FILE"))]
    pub(super) config: Option<PathBuf>,
    /// Configuration in force, to show what --config changes
    #[bpaf(argument("FILE"))]
    pub(super) against: Option<PathBuf>,
    /// Print the findings of --config as JSON
    pub(super) json: bool,
}

/// Lists to apply
#[derive(Clone, Debug, Bpaf)]
pub(super) struct ListFiles {
    /// List of customers
    #[bpaf(argument("FILE"))]
    pub(super) customers: PathBuf,
    /// List of plans
    #[bpaf(argument("FILE"))]
    pub(super) plans: PathBuf,
}

/// Configuration to change
#[derive(Clone, Debug, Bpaf)]
pub(super) struct OperatorOptions {
    /// Address of the key-value service
    #[bpaf(argument("IP:PORT"))]
    pub(super) store: SocketAddr,
    /// Name of the operator
    #[bpaf(argument("NAME"))]
    pub(super) operator: OperatorId,
}

/// Fleet to query
#[derive(Clone, Debug, Bpaf)]
pub(super) struct FleetOptions {
    /// Address of the VM list
    #[bpaf(argument("IP:PORT"))]
    pub(super) vm_list: SocketAddr,
}

/// VM or failure domain to take out of service or bring back
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
    /// Run an entry, which accepts callers' requests
    #[bpaf(command)]
    Entry {
        /// Settings file of the process
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Also log the events of single requests
        verbose: bool,
    },
    /// Run a sidecar, which dispatches requests to one target
    #[bpaf(command)]
    Sidecar {
        /// Settings file of the process
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Also log the events of single requests
        verbose: bool,
    },
    /// Run a gateway, which forwards callers' requests directly to targets on the users' platform
    #[bpaf(command)]
    Gateway {
        /// Settings file of the process
        #[bpaf(env("AMARANTHGW_CONFIG"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Run the agent of one rank of a rank group on the users' platform
    #[bpaf(command)]
    Agent {
        /// Settings file of the process
        #[bpaf(env("AMARANTHGW_CONFIG"), argument("FILE"))]
        settings: PathBuf,
    },
    /// Validate settings files and lists without changing anything
    #[bpaf(command)]
    Check {
        #[bpaf(external(check_files))]
        files: CheckFiles,
    },
    /// Apply the lists of customers and plans
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
        /// Proceed even if it is not in the VM list
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
    /// Show the nodes, the targets and the configuration in force at each
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
    /// Report how much of its error budget each plan has used on each service
    #[bpaf(command)]
    Report {
        #[bpaf(external(fleet_options))]
        fleet: FleetOptions,
        /// Print JSON
        json: bool,
    },
    /// Show the recorded events of a request, target or failure domain
    #[bpaf(command)]
    Explain {
        #[bpaf(external(fleet_options))]
        fleet: FleetOptions,
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Run a demo of the whole system within this process
    #[bpaf(command)]
    Demo,
    /// Benchmark the system on this machine
    #[bpaf(command)]
    Bench {
        /// Make only a few calls, as a smoke test (only hops; move and control ignore it)
        quick: bool,
        /// Print JSON
        json: bool,
        /// Benchmark to run: hops, move or control
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
        /// Kind of stand-in: store, vms, engine, plain, weights, group or proxy
        #[bpaf(positional("KIND"))]
        kind: StandinKind,
    },
}
