//! Carries intents out to targets.
