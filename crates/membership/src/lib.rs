//! Which instances and targets are alive, in a data centre and across.
