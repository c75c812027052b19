// Defines ExitCode, by which scripts tell what became of a call of cranberryctl.
#pragma once

namespace cranberry::ctl {

enum class ExitCode {
    Done = 0,
    /// `diff` found differences, `explain` no line of the request. The flag library ends with the
    /// same code on unknown flags.
    Differs = 1,
    /// Unknown command, missing argument, unreadable file.
    WrongUse = 2,
    /// The document has faults.
    Invalid = 3,
    /// The configuration has changed meanwhile; nothing was applied.
    Conflict = 4,
    /// A daemon could not be reached or refused the request; nothing was applied.
    Refused = 5,
    /// The change may have been accepted.
    Unsettled = 6,
    /// Accepted, but not in force at every live daemon in time.
    NotInForce = 7,
};

} // namespace cranberry::ctl
