//! The replicated state: tree, leases, intents and claims.
