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
        /// Shows one request's way through the logs of any number of instances.
        cmd explain {
            /// Identity of the request as its caller sent it.
            required id: String
            /// Files of logs; standard input where none is named.
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
            /// Version that the change was worked out against; the one in force where it is left out.
            optional --base base: u64
            /// Who asks; the user's name where it is left out.
            optional --operator operator: String
            /// Id of the request; a resend of an id gets the answer of the first time.
            optional --request-id request_id: String
            /// Waits until all live instances have it in force, and names those that have not.
            optional --wait
            /// Longest wait in seconds; 30 where it is left out.
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
            /// At most this many; 20 where it is left out.
            optional --limit limit: usize
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Returns a branch to the declarations of an earlier version, under a new version.
        cmd rollback {
            /// The branch: `venture` or a partner's name.
            required branch: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// The version whose declarations come back.
            required --to to: u64
            /// Version that must still be in force; the one in force where it is left out.
            optional --base base: u64
            /// Who asks; the user's name where it is left out.
            optional --operator operator: String
            /// Id of the request; a resend of an id gets the answer of the first time.
            optional --request-id request_id: String
            /// Waits until all live instances have it in force, and names those that have not.
            optional --wait
            /// Longest wait in seconds; 30 where it is left out.
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
            /// Only this branch, with the venture's defaults that it has.
            optional --branch branch: String
        }
        /// Shows what a dissolution of the venture would do, and carries it out.
        cmd dissolve {
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Name of the dissolution; a resend of the same name goes on where it stopped.
            required --plan plan: String
            /// Carries the steps out; without it they are only shown.
            optional --execute
            /// Gives the dissolution up, as long as no branch is detached.
            optional --undo
            /// Who asks; the user's name where it is left out.
            optional --operator operator: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Lets a target finish its work and take no more.
        cmd drain {
            /// The target.
            required target: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Who asks; the user's name where it is left out.
            optional --operator operator: String
            /// Id of the request; a resend of an id gets the answer of the first time.
            optional --request-id request_id: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// Lets a drained target take work again.
        cmd undrain {
            /// The target.
            required target: String
            /// Control address of any instance, for example 127.0.0.1:7001.
            required --instance instance: SocketAddr
            /// Who asks; the user's name where it is left out.
            optional --operator operator: String
            /// Id of the request; a resend of an id gets the answer of the first time.
            optional --request-id request_id: String
            /// `table` or `json`.
            optional --output output: Format
        }
        /// The replicas of the logs.
        cmd replica {
            /// Shows each replica's own account.
            cmd list {
                /// Control address of any instance, for example 127.0.0.1:7001.
                required --instance instance: SocketAddr
                /// `table` or `json`.
                optional --output output: Format
            }
            /// Puts the replica of one instance in the place of another's.
            cmd replace {
                /// The branch: `venture` or a partner's name.
                required branch: String
                /// Instance whose replica goes.
                required --old old: String
                /// Instance whose replica, started as a learner, takes its place.
                required --new new: String
                /// Control address of any instance, for example 127.0.0.1:7001.
                required --instance instance: SocketAddr
            }
        }
        /// Prints the hash of a caller's key, which is read from standard input.
        cmd hash-key {
        }
        /// Sends load to daemons, checks each answer and reports; fails when any answer was wrong, cut or missing.
        cmd load {
            /// File of the scenario, for example `examples/load.jsonc`.
            required --scenario scenario: String
            /// A daemon's address for callers, in place of the scenario's; may be given for each daemon.
            repeated --callers callers: SocketAddr
            /// A daemon's control address, in place of the scenario's; may be given for each daemon.
            repeated --control control: SocketAddr
            /// Seed, in place of the scenario's.
            optional --seed seed: u64
            /// File for the report as JSON.
            optional --json json: String
            /// File for the report as a page with plots.
            optional --page page: String
        }
        /// Shows which role changes the policy would make on a recorded trace.
        cmd roles {
            /// File of the trace: JSON, as `roles::trace::Trace` has it.
            required --trace trace: String
            /// Folder of the tree whose settings count; the program's defaults where it is left out.
            optional --tree tree: String
            /// The service whose settings count, as PARTNER/SERVICE.
            optional --service service: String
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
