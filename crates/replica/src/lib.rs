//! Hosts the replicated logs on an instance with a disk.
