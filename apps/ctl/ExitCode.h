#pragma once

namespace cranberry::ctl {

/// Exit codes of cranberryctl, which scripts use to tell the outcome of a command.
enum class ExitCode {
    Success = 0,
    /// `diff` found differences, or `explain` found no log line of the request. gflags exits with
    /// the same code on an unknown flag.
    Differs = 1,
    /// Unknown command, missing argument, unreadable file.
    UsageError = 2,
    /// The document does not pass validation.
    InvalidDocument = 3,
    /// The current version is not the expected one; nothing was applied.
    Conflict = 4,
    /// A daemon was unreachable or refused the request; nothing was applied.
    Refused = 5,
    /// The change may have been accepted: no response arrived, or the daemon reported a
    /// conflict (HTTP 409).
    OutcomeUnknown = 6,
    /// Accepted, but not in force at every live daemon before the timeout.
    NotInForce = 7,
};

} // namespace cranberry::ctl
