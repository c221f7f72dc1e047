//! Control state and decisions of a gateway: route table, target registry, roster of gateways, load
//! balancing, shares of cold targets' rates, retry budgets, stall detection of rank groups and event
//! stream framing.
//!
//! A gateway accepts callers' requests and forwards them directly to the targets that the
//! platform's registry lists; no sidecar is involved. It has its own policies and retry budgets
//! here: [`routing`](crate::routing) and [`retries`](crate::retries) belong to entries.

mod admission;
mod budget;
mod choice;
mod cold;
mod demand;
mod departed;
mod document;
mod evacuation;
mod events;
mod groups;
mod heartbeat;
mod parts;
mod patience;
mod quarantine;
mod registry;
mod registry_log;
mod roster;
mod routes;
mod shared_read;
mod stop;
mod systems;
mod targets;
mod window;
mod work;
mod world;

pub use admission::{
    AdmissionFigures, AdmissionNotice, AdmissionRefusal, AdmissionState, AdmissionTerms,
    AdmissionVerdict, AnswerSign, Arrival, CallRank, FlightBasis, FlightPass, LevelFigures,
    NoticeOutcome, RefusalReason, ServiceAdmission, ServiceLimit, TargetLoad, TicketOutcome,
    WaitRoom, WaitTicket, WaiterNumber, WaiterRow,
};
pub use budget::{BudgetDecision, WindowBudget, WindowSettings};
pub use choice::{
    CallWork, ChoiceInput, ChoicePolicy, EarliestBeginPolicy, HeldParts, LeastLoadedPolicy,
    RoundRobinPolicy,
};
pub use cold::ColdShare;
pub use demand::{
    DEMAND_TIME, DemandAnswer, DemandLedger, DemandReport, DemandTable, GrantedLoan, LOAN_TIME,
    LevelDemand, ReportRefusal, ReportVersion, ServiceDemand, WaitingDemand,
};
pub use departed::LeavingMark;
pub use document::{
    ConfigDocument, ConfigFinding, DocumentChange, FindingLevel, UnusableRow, WorkspaceKeys,
    check_document, compare_documents,
};
pub use evacuation::HeldEvacuations;
pub use events::{EventId, EventScanner, OversizedEvent};
pub use groups::{GroupGauge, GroupStatus, GroupSuspicion, StreamGuard};
pub use heartbeat::HeartbeatMark;
pub use parts::{
    AnswerTiming, PartMemory, PartTable, PromptPart, SavingGauge, SavingSample, TableLimits,
};
pub use patience::{
    AttemptFacts, AttemptPatience, AttemptStage, EndCause, GroupHealth, PatienceVerdict, RunCount,
    SearchCause, StayCause, is_probably_queued,
};
pub use quarantine::{
    CallDigest, CallMarks, CallNews, CallQuarantine, CallVerdict, CrashReport, PartQuarantine,
    PartVerdict, QuarantineDigest, QuarantineNews, RefusedParts, SuspectSet, VerdictSubject,
    request_mark,
};
pub use registry::{RegistryEntry, RegistryListing, TargetRow, TargetTransition};
pub use registry_log::{
    LeavingNotice, OutdatedNotice, RegistryChange, RegistryDigest, RegistryLog, RegistryNews,
};
pub use roster::{GatewayRoster, RosterEntry, RosterReading};
pub use routes::{
    CallLimits, ExpertShape, KeyHolder, LookupError, RouteKind, RouteRow, RouteTable, ServiceRow,
    SplitShare,
};
pub use shared_read::ReadWindow;
pub use stop::StopPlan;
pub use systems::{PEER_TIMEOUT, gateway_schedule};
pub use targets::{FlightGuard, TargetCandidate, TargetGauge, TargetRecord};
pub use work::{
    EngineFigures, LoadError, MAX_RANK_LOADS, RankLoad, RankLoadReport, ReportOutcome, TargetWork,
    WorkEstimate,
};
pub use world::{FleetBounds, GatewaySnapshot, GatewayWorld};
