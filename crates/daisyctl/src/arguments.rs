//! The command line of `daisyctl`.

#![allow(missing_docs, reason = "the macro generates items without documentation")]

use std::net::SocketAddr;

use crate::output::Format;

xflags::xflags! {
    /// The command line for operators of daisydrum.
    cmd daisyctl {
        /// Shows an instance and the targets it knows.
        cmd status {
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Shows the spans of one request as a tree.
        cmd trace {
            /// File of spans, as `spans.file` names it; may be given for each instance.
            repeated --spans spans: String
            /// The trace: 32 hexadecimal digits, as `traceparent` or the log has it.
            required id: String
        }
    }
}
