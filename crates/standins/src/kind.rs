//! Kinds of stand-ins and their creation by name.

use std::str::FromStr;

use amaranthgw_core::ParseError;
use serde::de::DeserializeOwned;

use crate::engine::EngineStandin;
use crate::error::{Result, StandinError};
use crate::group::GroupStandin;
use crate::plain::PlainStandin;
use crate::proxy::ProxyStandin;
use crate::running::Standin;
use crate::store::StoreStandin;
use crate::vms::VmListStandin;
use crate::weights::WeightStandin;

/// Kind of stand-in, parsed from and displayed as its lower-case name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StandinKind {
    /// The key-value service.
    Store,
    /// The VM list.
    Vms,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
    /// The weight store.
    Weights,
    /// A rank group.
    Group,
    /// The fault proxy.
    Proxy,
}

impl StandinKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Store,
        Self::Vms,
        Self::Engine,
        Self::Plain,
        Self::Weights,
        Self::Group,
        Self::Proxy,
    ];

    /// Creates a stand-in of this kind from its settings, a JSON object.
    ///
    /// All fields are optional, except the proxy's `upstream`, which [`Standin::start`] requires.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Settings`] if `settings` is malformed or has unknown fields.
    pub fn standin(self, settings: &str) -> Result<Box<dyn Standin>> {
        Ok(match self {
            Self::Store => Box::new(StoreStandin::new(self.read(settings)?)),
            Self::Vms => Box::new(VmListStandin::new(self.read(settings)?)),
            Self::Engine => Box::new(EngineStandin::new(self.read(settings)?)),
            Self::Plain => Box::new(PlainStandin::new(self.read(settings)?)),
            Self::Weights => Box::new(WeightStandin::new(self.read(settings)?)),
            Self::Group => Box::new(GroupStandin::new(self.read(settings)?)),
            Self::Proxy => Box::new(ProxyStandin::new(self.read(settings)?)),
        })
    }

    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Vms => "vms",
            Self::Engine => "engine",
            Self::Plain => "plain",
            Self::Weights => "weights",
            Self::Group => "group",
            Self::Proxy => "proxy",
        }
    }

    fn read<Settings: DeserializeOwned>(self, settings: &str) -> Result<Settings> {
        let read = serde_json::from_str(settings);
        read.map_err(|source| StandinError::Settings { kind: self, source })
    }
}

impl std::fmt::Display for StandinKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for StandinKind {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        const ALLOWED: &str = "store, vms, engine, plain, weights, group or proxy";
        let kind = Self::ALL.into_iter().find(|kind| kind.name() == text);
        kind.ok_or_else(|| ParseError::new("StandinKind", ALLOWED, text))
    }
}
