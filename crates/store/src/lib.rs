//! Write-ahead log and snapshots on disk.
