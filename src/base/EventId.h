#pragma once

namespace cranberry {

/// The number and name of each log event; docs/EVENTS.md is the catalogue and is checked against
/// this list. Numbers are grouped by hundreds, one group per aggregate. A number is never
/// reused for another event.
// X(enumerator, number, name)
#define CRANBERRY_EVENTS(X)                                                                        \
    X(DaemonStarted, 1001, "daemon.started")                                                       \
    X(DaemonReady, 1002, "daemon.ready")                                                           \
    X(DaemonDraining, 1003, "daemon.draining")                                                     \
    X(DaemonStopped, 1004, "daemon.stopped")                                                       \
    X(RequestAccepted, 1101, "request.accepted")                                                   \
    X(RequestRefused, 1102, "request.refused")                                                     \
    X(RequestFinished, 1103, "request.finished")                                                   \
    X(RequestFailed, 1104, "request.failed")                                                       \
    X(CallerGone, 1105, "request.caller_gone")                                                     \
    X(ConnectionRefused, 1106, "connection.refused")                                               \
    X(ConnectionUnexpectedData, 1107, "connection.unexpected_data")                                \
    X(ResponseForeign, 1108, "response.foreign")                                                   \
    X(ConnectionUnanswered, 1109, "connection.unanswered")                                         \
    X(ConnectionsReclaimed, 1110, "connections.reclaimed")                                         \
    X(PlacementChosen, 1201, "placement.chosen")                                                   \
    X(PlacementWaiting, 1202, "placement.waiting")                                                 \
    X(PlacementRefused, 1203, "placement.refused")                                                 \
    X(TargetLeaving, 1204, "target.leaving")                                                       \
    X(TargetDead, 1205, "target.dead")                                                             \
    X(TargetBack, 1206, "target.back")                                                             \
    X(AttemptSent, 1301, "attempt.sent")                                                           \
    X(AttemptFailed, 1302, "attempt.failed")                                                       \
    X(AttemptRetried, 1303, "attempt.retried")                                                     \
    X(AttemptCancelled, 1304, "attempt.cancelled")                                                 \
    X(StreamResumed, 1305, "stream.resumed")                                                       \
    X(StreamDropped, 1306, "stream.dropped")                                                       \
    X(ClaimWon, 1401, "claim.won")                                                                 \
    X(ClaimLost, 1402, "claim.lost")                                                               \
    X(ClaimReleased, 1403, "claim.released")                                                       \
    X(ClaimUnsettled, 1404, "claim.unsettled")                                                     \
    X(ClaimAttached, 1405, "claim.attached")                                                       \
    X(ConfigurationAccepted, 1501, "configuration.accepted")                                       \
    X(ConfigurationRejected, 1502, "configuration.rejected")                                       \
    X(ConfigurationInForce, 1503, "configuration.in_force")                                        \
    X(PlatformDown, 1504, "platform.down")                                                         \
    X(PlatformBack, 1505, "platform.back")                                                         \
    X(TargetCold, 1216, "target.cold")                                                             \
    X(EvacuationInForce, 1509, "evacuation.in_force")                                              \
    X(EvacuationEnded, 1510, "evacuation.ended")                                                   \
    X(StalenessChanged, 1511, "staleness.changed")                                                 \
    X(StoreProbed, 1512, "store.probed")                                                           \
    X(PeerStateTaken, 1928, "peers.state_taken")                                                   \
    X(MemberJoined, 1601, "member.joined")                                                         \
    X(MemberSuspected, 1602, "member.suspected")                                                   \
    X(MemberDead, 1603, "member.dead")                                                             \
    X(MemberLeaving, 1604, "member.leaving")                                                       \
    X(PeerRejected, 1605, "peer.rejected")                                                         \
    X(PeerFrameInvalid, 1606, "peer.frame_invalid")                                                \
    X(QuarantineSuspect, 1701, "quarantine.suspect")                                               \
    X(QuarantineAdded, 1702, "quarantine.added")                                                   \
    X(QuarantineReleased, 1703, "quarantine.released")                                             \
    X(CrashEvidence, 1704, "crash.evidence")                                                       \
    X(CrashTrial, 1705, "crash.trial")                                                             \
    X(CrashHeld, 1706, "crash.held")                                                               \
    X(CrashRecordsRead, 1707, "crash.records_read")                                                \
    X(OrderIssued, 1801, "order.issued")                                                           \
    X(OrderRefused, 1802, "order.refused")                                                         \
    X(IssuerGained, 1803, "issuer.gained")                                                         \
    X(IssuerLost, 1804, "issuer.lost")                                                             \
    X(ReportMissing, 1207, "report.missing")                                                       \
    X(TargetJoined, 1208, "target.joined")                                                         \
    X(TargetGone, 1209, "target.gone")                                                             \
    X(TargetSuspected, 1210, "target.suspected")                                                   \
    X(TargetCleared, 1211, "target.cleared")                                                       \
    X(ConfigurationUnreadable, 1506, "configuration.unreadable")                                   \
    X(TargetUnreadable, 1507, "target.unreadable")                                                 \
    X(TargetEntryLate, 1214, "target.entry_late")                                                  \
    X(TargetStartedAgain, 1212, "target.started_again")                                            \
    X(TargetNotice, 1215, "target.notice")                                                         \
    X(TargetWithheld, 1213, "target.withheld")                                                     \
    X(StoreCompacted, 1508, "store.compacted")                                                     \
    X(TargetLimited, 1219, "target.limited")                                                       \
    X(TargetLimitEnded, 1220, "target.limit_ended")                                                \
    X(TargetLimitUnreadable, 1221, "target.limit_unreadable")                                      \
    X(AnswerHeaderUnknown, 1222, "answer.header_unknown")                                          \
    X(PermitsOwned, 1223, "permits.owned")                                                         \
    X(PermitsNotOwned, 1224, "permits.not_owned")                                                  \
    X(PermitsAnswered, 1225, "permits.answered")                                                   \
    X(ServiceUnreachable, 1226, "service.unreachable")                                             \
    X(ServiceReachable, 1227, "service.reachable")                                                 \
    X(RelayForwarded, 1932, "relay.forwarded")                                                     \
    X(RelayForwardEnded, 1933, "relay.forward_ended")                                              \
    X(ForwardRefused, 1934, "forward.refused")                                                     \
    X(ServiceBrittle, 1228, "service.brittle")                                                     \
    X(ServiceRobust, 1229, "service.robust")                                                       \
    X(TargetPaused, 1230, "target.paused")                                                         \
    X(TargetResumed, 1231, "target.resumed")                                                       \
    X(TargetPauseUnreadable, 1232, "target.pause_unreadable")                                      \
    X(TargetSaidLeaving, 1233, "target.said_leaving")                                              \
    X(CallWithheld, 1234, "call.withheld")                                                         \
    X(RelayPaused, 1935, "relay.paused")                                                           \
    X(AdmissionRejected, 1936, "admission.rejected")                                               \
    X(AdmissionHeld, 1937, "admission.held")                                                       \
    X(AdmissionPressed, 1938, "admission.pressed")                                                 \
    X(RelayLimited, 1929, "relay.limited")                                                         \
    X(RetryGranted, 1930, "retry.granted")                                                         \
    X(RetryRefused, 1931, "retry.refused")                                                         \
    X(RelayArrived, 1901, "relay.arrived")                                                         \
    X(RelayRefused, 1902, "relay.refused")                                                         \
    X(RelayWaiting, 1903, "relay.waiting")                                                         \
    X(RelaySent, 1904, "relay.sent")                                                               \
    X(RelaySendEnded, 1905, "relay.send_ended")                                                    \
    X(RelayRetried, 1906, "relay.retried")                                                         \
    X(RelayEnded, 1907, "relay.ended")                                                             \
    X(RelayEventGap, 1908, "relay.event_gap")                                                      \
    X(StreamLost, 1909, "stream.lost")                                                             \
    X(MoveBegun, 1910, "move.begun")                                                               \
    X(MoveEnded, 1911, "move.ended")                                                               \
    X(MoveFailed, 1912, "move.failed")                                                             \
    X(BackupChosen, 1916, "backup.chosen")                                                         \
    X(TakeoverBegun, 1917, "takeover.begun")                                                       \
    X(TakeoverEnded, 1918, "takeover.ended")                                                       \
    X(StopBegun, 1939, "stop.begun")                                                               \
    X(StopEnded, 1940, "stop.ended")                                                               \
    X(RelayUnfinished, 1941, "relay.unfinished")                                                   \
    X(ReservationRefused, 1913, "reservation.refused")                                             \
    X(PeersListed, 1927, "peers.listed")                                                           \
    X(PeerListFailed, 1914, "peers.list_failed")                                                   \
    X(PeerStateFailed, 1915, "peers.state_failed")                                                 \
    X(SettingsReloaded, 1005, "settings.reloaded")                                                 \
    X(SettingsFault, 1008, "settings.fault")                                                       \
    X(LogDropped, 1006, "log.dropped")                                                             \
    X(ShutdownProgress, 1007, "daemon.shutdown_progress")

/// The log events by number.
enum class EventId {
// An enumerator cannot be put in parentheses.
// NOLINTNEXTLINE(bugprone-macro-parentheses)
#define CRANBERRY_EVENT_ENUMERATOR(name, number, text) name = number,
    CRANBERRY_EVENTS(CRANBERRY_EVENT_ENUMERATOR)
#undef CRANBERRY_EVENT_ENUMERATOR
};

/// The dotted name of @p event as written to log lines. Thread-safe.
const char *eventName(EventId event);

} // namespace cranberry
