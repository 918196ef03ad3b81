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
        /// Shows the log lines of one request from the logs of any number of instances.
        cmd explain {
            /// Id of the request, as its caller sent it.
            required id: String
            /// Log files; standard input if none is named.
            repeated file: String
        }
        /// Checks a folder of declarations.
        cmd check {
            /// Folder of the tree, for example `examples/venture`.
            required folder: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Shows what a folder of declarations would change in the settings in force, by service.
        cmd diff {
            /// Folder of the tree.
            required folder: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Makes a folder of declarations the settings in force.
        cmd apply {
            /// Folder of the tree.
            required folder: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Only this branch: `venture` or a partner's name.
            optional --branch branch: String
            /// Version that the change is based on; the one in force by default.
            optional --base base: u64
            /// Name of the operator; the user's name by default.
            optional --operator operator: String
            /// Id of the request; sending the same id again returns the first reply.
            optional --request-id request_id: String
            /// Waits until the version is in force on all live instances, and names those on which it is not.
            optional --wait
            /// Longest wait, in seconds; 30 by default.
            optional --timeout-s timeout_s: u64
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Shows the declarations in force.
        cmd get {
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Shows every value of each service with the level and file that set it.
            optional --effective
            /// Only this partner.
            optional --partner partner: String
            /// Only this service.
            optional --service service: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Shows the versions of a branch, newest first.
        cmd history {
            /// The branch: `venture` or a partner's name.
            required branch: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Maximum number of versions; 20 by default.
            optional --limit limit: usize
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Restores the declarations of an earlier version of a branch as a new version.
        cmd rollback {
            /// The branch: `venture` or a partner's name.
            required branch: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// The version whose declarations are restored.
            required --to to: u64
            /// Version that must still be in force; the current one by default.
            optional --base base: u64
            /// Name of the operator; the user's name by default.
            optional --operator operator: String
            /// Id of the request; sending the same id again returns the first reply.
            optional --request-id request_id: String
            /// Waits until the version is in force on all live instances, and names those on which it is not.
            optional --wait
            /// Longest wait, in seconds; 30 by default.
            optional --timeout-s timeout_s: u64
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Writes the declarations in force to a new folder, with the history of each branch.
        cmd export {
            /// The folder, which must not exist.
            required folder: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Only this branch, with the version of the venture's defaults that it uses.
            optional --branch branch: String
        }
        /// Shows what a dissolution of the venture would do, or executes it.
        cmd dissolve {
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Name of the dissolution; the same name continues it where it stopped.
            required --plan plan: String
            /// Executes the steps; without this they are only shown.
            optional --execute
            /// Cancels the dissolution, which is possible until a branch is detached.
            optional --undo
            /// Name of the operator; the user's name by default.
            optional --operator operator: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Drains a target: it finishes its work and gets no more.
        cmd drain {
            /// The target.
            required target: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Name of the operator; the user's name by default.
            optional --operator operator: String
            /// Id of the request; sending the same id again returns the first reply.
            optional --request-id request_id: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Gives a drained target work again.
        cmd undrain {
            /// The target.
            required target: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Name of the operator; the user's name by default.
            optional --operator operator: String
            /// Id of the request; sending the same id again returns the first reply.
            optional --request-id request_id: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Shows or replaces replicas of the logs.
        cmd replica {
            /// Shows the status that each replica reports.
            cmd list {
                /// Control address of any instance, for example 127.0.0.1:7001.
                required --instance instance: SocketAddr
                /// `table` or `json`.
                optional --output output: Format
            }
            /// Replaces the replica of one instance by that of another.
            cmd replace {
                /// The branch: `venture` or a partner's name.
                required branch: String
                /// Instance whose replica is removed.
                required --old old: String
                /// Instance whose replica, started as a learner, replaces it.
                required --new new: String
                /// Control address of any instance, for example 127.0.0.1:7001.
                required --instance instance: SocketAddr
            }
        }
        /// Prints the hash of a caller's key, which is read from standard input.
        cmd hash-key {
        }
        /// Sends load to daemons and checks each response; fails if any response was wrong, cut or missing.
        cmd load {
            /// File of the scenario, for example `examples/load.jsonc`.
            required --scenario scenario: String
            /// A daemon's address for callers, instead of the scenario's; may be repeated.
            repeated --callers callers: SocketAddr
            /// A daemon's control address, instead of the scenario's; may be repeated.
            repeated --control control: SocketAddr
            /// Seed, instead of the scenario's.
            optional --seed seed: u64
            /// File for the report as JSON.
            optional --json json: String
            /// File for the report as a page with plots.
            optional --page page: String
        }
        /// Shows which role changes the policy would make for a recorded trace.
        cmd roles {
            /// File of the trace, in the JSON format of `roles::trace::Trace`.
            required --trace trace: String
            /// Folder of the tree whose settings are used; the program's defaults by default.
            optional --tree tree: String
            /// The service whose settings are used, as PARTNER/SERVICE.
            optional --service service: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Shows the spans of one request as a tree.
        cmd trace {
            /// Span file of an instance, as in its setting `spans.file`; may be repeated.
            repeated --spans spans: String
            /// Id of the trace: 32 hexadecimal digits, as in `traceparent` or the log.
            required id: String
        }
    }
}
