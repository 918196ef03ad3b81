//! Disk thread: writes in order, syncs once for each batch, then sends the messages that waited for the sync.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use common::{name, ring};
use consensus::{effect::Write, message::Envelope};
use slog::{Logger, error};
use store::{error::Error, folder::Disk, log::Log};

use crate::{codec, transport::Transport, worker::Input};

/// Capacity of the queue to the disk thread.
pub(crate) const RING_JOBS: usize = 16_384;
const BATCH_JOBS: usize = 1_024;

/// A job of the disk thread.
#[derive(Debug)]
pub(crate) enum Job {
    Write(Write),
    /// Sends a message once all writes before it are durable.
    Send(name::Instance, Envelope),
}

/// State of the disk thread.
pub(crate) struct Writer {
    pub log: Log<Disk>,
    pub jobs: ring::Receiver<Job>,
    pub transport: Transport,
    /// Number of the last durable write.
    pub synced: Arc<AtomicU64>,
    pub inputs: ring::Sender<Input>,
    pub logger: Logger,
}

impl Writer {
    /// Runs until the queue is closed or a write fails. After a failure nothing more is acknowledged.
    pub(crate) fn run(mut self) {
        while let Ok(first) = self.jobs.recv() {
            let rest = self.jobs.try_iter().take(BATCH_JOBS);
            let batch: Vec<Job> = std::iter::once(first).chain(rest).collect();
            if let Err(error) = self.process(batch) {
                error!(self.logger, "replica stopped"; "cause" => %error);
                return;
            }
        }
    }

    fn process(&mut self, batch: Vec<Job>) -> Result<(), Error> {
        let mut messages = Vec::new();
        let mut number = None;
        for job in batch {
            match job {
                Job::Write(write) => {
                    number = Some(write.number);
                    self.write(&write)?;
                }
                Job::Send(instance, envelope) => messages.push((instance, envelope)),
            }
        }
        if let Some(number) = number {
            self.log.sync()?;
            self.synced.store(number, Ordering::Release);
        }
        for (instance, envelope) in messages {
            self.transport.send(&instance, envelope);
        }
        // If the queue is full, the worker is awake anyway. It reads `synced` in each round.
        let _full = self.inputs.send(Input::Wake);
        Ok(())
    }

    fn write(&mut self, write: &Write) -> Result<(), Error> {
        if let Some(hard) = &write.hard {
            self.log.set_hard_state(&codec::encode(hard));
        }
        if let Some(snapshot) = &write.snapshot {
            self.log.save_snapshot(&codec::store_snapshot(snapshot))?;
        }
        for entry in &write.entries {
            self.log.append(&codec::store_entry(entry));
        }
        Ok(())
    }
}
