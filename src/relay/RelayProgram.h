// Defines runRelayProgram, the main program of a relaying daemon.
#pragma once

namespace cranberry {

struct RelayProtocols;

/// Reads flags and settings, runs the daemon and ends with its exit code: 0 ended as asked, 2 bad
/// flags or settings. The settings file is that of --settings, else the one that the environment
/// variable @p settingsVariable names.
/// Precondition: called once, from main().
int runRelayProgram(int argc, char *argv[], const char *settingsVariable,
                    const RelayProtocols &protocols);

} // namespace cranberry
