//! Command-line arguments of the daemon.

#![allow(missing_docs, reason = "the macro generates items without documentation")]

xflags::xflags! {
    /// The daisydrum daemon.
    cmd daisydrum {
        /// Runs an instance with a configured list of peers until SIGTERM or SIGINT.
        cmd run {
            /// Settings file of the instance, for example `examples/single.jsonc`.
            required --settings settings: String
        }
        /// Runs an instance that discovers its peers from seeds until SIGTERM or SIGINT.
        cmd join {
            /// Settings file of the instance, for example `examples/seeded.jsonc`; the default is the path in the
            /// environment variable DAISYDRUM_CONFIG.
            optional --settings settings: String
        }
        /// Checks the settings of an instance with a list of peers, and its tree, then exits.
        cmd check {
            /// Settings file of the instance.
            required --settings settings: String
        }
    }
}
