//! Admission, fairness, choice of target and retries, all pure.
