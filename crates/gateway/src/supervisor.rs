//! Restarts tasks that panic, so that a daemon doesn't look ready while one of them is missing.

use std::{rc::Rc, time::Duration};

use crate::gateway::Gateway;

/// Pause before a task that has panicked is started again, so that a fault that lasts doesn't use
/// up the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs the task that `start` creates, and creates it again whenever it panics.
pub async fn supervise<T: Future<Output = ()> + 'static>(
    gateway: Rc<Gateway>,
    name: &'static str,
    start: impl Fn() -> T,
) {
    while let Err(e) = tokio::task::spawn_local(start()).await {
        log::error!(target: "belief", "event=task-panicked task={name} error=\"{e}\"");
        gateway.metrics.panics.inc();
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
