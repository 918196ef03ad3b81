//! The disk's thread: writes in order, syncs in batches, then releases what waited for the sync.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use common::{name, ring};
use consensus::{effect::Write, message::Envelope};
use slog::{Logger, error};
use store::{error::Error, folder::Disk, log::Log};

use crate::{codec, transport::Transport, worker::Input};

/// Jobs that may wait for the disk.
pub(crate) const RING_JOBS: usize = 16_384;
const BATCH_JOBS: usize = 1_024;

/// What the disk's thread does.
#[derive(Debug)]
pub(crate) enum Job {
    Write(Write),
    /// Sends a message once all jobs before it are durable.
    Send(name::Instance, Envelope),
}

/// The disk's thread.
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
    /// Runs until the ring is closed or a write fails; after a failure nothing is acknowledged any more.
    pub(crate) fn run(mut self) {
        while let Ok(first) = self.jobs.recv() {
            let rest = self.jobs.try_iter().take(BATCH_JOBS);
            let batch: Vec<Job> = std::iter::once(first).chain(rest).collect();
            if let Err(fault) = self.carry_out(batch) {
                error!(self.logger, "replica stopped"; "cause" => %fault);
                return;
            }
        }
    }

    fn carry_out(&mut self, batch: Vec<Job>) -> Result<(), Error> {
        let mut messages = Vec::new();
        let mut number = None;
        for job in batch {
            match job {
                Job::Write(write) => {
                    number = Some(write.number);
                    self.write(&write)?;
                }
                Job::Send(place, envelope) => messages.push((place, envelope)),
            }
        }
        if let Some(number) = number {
            self.log.sync()?;
            self.synced.store(number, Ordering::Release);
        }
        for (place, envelope) in messages {
            self.transport.send(&place, envelope);
        }
        // A full ring wakes the worker anyway, and it looks at `synced` in each round.
        let _awake = self.inputs.send(Input::Wake);
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
