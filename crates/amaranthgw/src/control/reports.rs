//! Batched channel to the control thread, for reports, requests and peers' messages.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Largest number of reports in one batch.
const MAX_BATCH: usize = 256;

/// Sending half of the channel; never waits.
#[derive(Debug)]
pub struct ReportSender<Report> {
    sender: UnboundedSender<Report>,
}

impl<Report> Clone for ReportSender<Report> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<Report> ReportSender<Report> {
    /// Sends `report`; it is dropped once the control thread has ended.
    pub fn send(&self, report: Report) {
        drop(self.sender.send(report));
    }
}

/// Creates an unbounded channel for reports to the control thread.
#[must_use]
pub fn report_channel<Report>() -> (ReportSender<Report>, UnboundedReceiver<Report>) {
    let (sender, receiver) = unbounded_channel();
    (ReportSender { sender }, receiver)
}

/// Passes the reports that have arrived to `sink`, in batches of up to `MAX_BATCH`, until every
/// sender is dropped.
pub async fn forward_reports<Report>(
    mut receiver: UnboundedReceiver<Report>,
    sink: impl Fn(Vec<Report>),
) {
    loop {
        let mut batch = Vec::new();
        if receiver.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        sink(batch);
    }
}
