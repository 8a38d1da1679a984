//! Background tasks that are aborted when their handle is dropped.

use std::future::Future;

use tokio::task::{AbortHandle, JoinHandle};

/// Handle of a tokio task, which is aborted on drop.
#[derive(Debug)]
pub(crate) struct Task(AbortHandle);

impl Task {
    pub(crate) fn spawn<F>(future: F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let handle: JoinHandle<()> = tokio::spawn(future);
        Self(handle.abort_handle())
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}
