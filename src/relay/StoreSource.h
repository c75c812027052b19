// Defines StoreSource, by which way something of the platform's store came to a daemon.
#pragma once

namespace cranberry {

enum class StoreSource {
    None,
    Read,
    Watch,
    /// Messages of daemons that watch for it.
    Feed,
    /// The answer of a daemon that was asked.
    Peer,
};

/// As log lines name it. Thread-safe.
const char *textOf(StoreSource source);

} // namespace cranberry
