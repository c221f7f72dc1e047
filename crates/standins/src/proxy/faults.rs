//! Fault injection of the proxy.

use std::time::Duration;

use amaranthgw_core::MilliSpan;
use serde::Deserialize;
use tokio::sync::watch;

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum ProxyMode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Closes every open connection once, when the mode is set; forwards later ones.
    Cut,
    /// Forwards nothing any more on the connections that are open when the mode is set, and keeps them open;
    /// forwards later ones.
    Silence,
    /// Closes every open connection, and new ones immediately.
    Refuse,
    /// Keeps connections open and forwards nothing in either direction.
    Hold,
    /// Keeps connections open and forwards nothing from the upstream.
    #[serde(rename = "hold_replies")]
    HoldReplies,
}

/// Direction in which the proxy forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowDirection {
    /// From the client to the upstream.
    ToUpstream,
    /// From the upstream to the client.
    FromUpstream,
}

impl ProxyMode {
    /// Whether bytes in `direction` are held.
    const fn holds(self, direction: FlowDirection) -> bool {
        match self {
            Self::Hold => true,
            Self::HoldReplies => matches!(direction, FlowDirection::FromUpstream),
            Self::Pass | Self::Cut | Self::Silence | Self::Refuse => false,
        }
    }
}

/// Body of `POST /admin/faults`; replaces all earlier fault settings.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct ProxyFaults {
    pub(super) mode: ProxyMode,
    #[serde(rename = "delay_ms", with = "crate::units::millis")]
    delay: MilliSpan,
}

impl ProxyFaults {
    /// Delay of each byte, in both directions.
    pub(super) fn delay(&self) -> Duration {
        self.delay.duration()
    }

    /// Whether open connections have to be closed.
    pub(super) fn closes_open(&self) -> bool {
        matches!(self.mode, ProxyMode::Cut | ProxyMode::Refuse)
    }
}

/// Waits until open connections have to go silent, or the proxy stops.
pub(super) async fn wait_for_silence(mut faults: FaultWatch) {
    while faults.changed().await.is_ok() {
        if faults.borrow_and_update().mode == ProxyMode::Silence {
            return;
        }
    }
}

/// Receiver of the current fault settings and their changes.
pub(super) type FaultWatch = watch::Receiver<ProxyFaults>;

/// Waits while bytes in `direction` are held; `None` if the proxy stops meanwhile.
pub(super) async fn wait_while_held(
    faults: &mut FaultWatch,
    direction: FlowDirection,
) -> Option<()> {
    let released = faults
        .wait_for(|faults| !faults.mode.holds(direction))
        .await;
    released.ok().map(|_faults| ())
}

/// Waits until open connections have to be closed, or the proxy stops.
pub(super) async fn wait_for_close(mut faults: FaultWatch) {
    while faults.changed().await.is_ok() {
        if faults.borrow_and_update().closes_open() {
            return;
        }
    }
}
