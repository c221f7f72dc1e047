//! Batches of reports from traffic threads to the control thread.

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

const MAX_BATCH: usize = 256;

/// Sends reports to the control thread without waiting.
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

/// Creates the way of reports from traffic threads to the control thread.
#[must_use]
pub fn report_channel<Report>() -> (ReportSender<Report>, UnboundedReceiver<Report>) {
    let (sender, receiver) = unbounded_channel();
    (ReportSender { sender }, receiver)
}

/// Gives the reports to `sink`, all that have arrived at a time, until every sender is gone.
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
