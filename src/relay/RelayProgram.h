#pragma once

namespace cranberry {

struct RelayProtocols;

/// Reads flags and settings, runs the daemon and returns its exit code: 0 after a requested stop, 2
/// for invalid flags or settings. The settings file is that of --settings, or else the one that the
/// environment variable @p settingsVariable names.
/// Precondition: called once, from main().
int runRelayProgram(int argc, char *argv[], const char *settingsVariable,
                    const RelayProtocols &protocols);

} // namespace cranberry
