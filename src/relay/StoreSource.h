#pragma once

namespace cranberry {

/// The way by which data of the platform's store reached a daemon.
enum class StoreSource {
    None,
    Read,
    Watch,
    /// Messages of daemons that watch the store.
    Feed,
    /// The response of a daemon to a request.
    Peer,
};

/// The name of @p source in log lines. Thread-safe.
const char *textOf(StoreSource source);

} // namespace cranberry
