//! Policy for role changes, pure.
