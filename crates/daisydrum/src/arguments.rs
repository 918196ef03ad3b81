//! The command line of the daemon.

#![allow(missing_docs, reason = "the macro generates items without documentation")]

xflags::xflags! {
    /// The daemon of daisydrum.
    cmd daisydrum {
        /// Runs the daemon until it gets SIGTERM or SIGINT.
        cmd run {
            /// File of the instance's settings, for example `examples/single.jsonc`.
            required --settings settings: String
        }
        /// Runs an instance that finds the others from seeds until it gets SIGTERM or SIGINT.
        cmd join {
            /// File of the instance's settings, for example `examples/seeded.jsonc`; DAISYDRUM_CONFIG names it
            /// where this is left out.
            optional --settings settings: String
        }
        /// Checks the settings and exits.
        cmd check {
            /// File of the instance's settings.
            required --settings settings: String
        }
    }
}
