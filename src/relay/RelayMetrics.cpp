#include "relay/RelayMetrics.h"

#include "gateway/MetricsText.h"
#include "relay/RelayParts.h"

namespace cranberry {

namespace {

/// Bounds the size of a scrape.
constexpr qsizetype MaxTargetsInMetrics = 100;
constexpr std::array<const char *, RequestKindCount> KindNames{"idempotent", "at_most_once",
                                                               "stream"};

QByteArray kindText(const char *kind, const KindCounters &counters)
{
    const QByteArray prefix = QByteArray("cranberry_relay_") + kind;
    QByteArray text = counterText(prefix + "_arrived_total", counters.arrived);
    text += counterText(prefix + "_answered_total", counters.answered);
    text += counterText(prefix + "_refused_total", counters.refused);
    text += counterText(prefix + "_failed_total", counters.failed);
    text += counterText(prefix + "_caller_gone_total", counters.callerGone);
    text += counterText(prefix + "_retried_total", counters.retried);
    return text + counters.toAnswer.prometheusText(prefix + "_to_answer_seconds");
}

QByteArray answerEndsText(const RelayCounters &counters)
{
    QByteArray text = "# TYPE cranberry_relay_answer_ends_total counter\n";
    for (std::size_t framing = 0; framing < BodyFramingCount; ++framing) {
        for (std::size_t end = 0; end < AnswerEndCount; ++end)
            text += QByteArray("cranberry_relay_answer_ends_total{framing=\"")
                + bodyFramingName(BodyFraming(framing)) + "\",end=\""
                + answerEndName(AnswerEnd(end)) + "\"} "
                + QByteArray::number(counters.answerEnds[framing][end]) + '\n';
    }
    return text;
}

QByteArray limitsText(const RelayParts &parts)
{
    const TargetLimits::Counters &counters = parts.limits.counters();
    const QList<LimitNews> limited = parts.limits.known();
    QByteArray text = gaugeText("cranberry_relay_limited_targets", limited.size());
    text += counterText("cranberry_relay_permits_asked_total", counters.asks);
    text += counterText("cranberry_relay_permits_received_total", counters.permitsReceived);
    text +=
        counterText("cranberry_relay_permits_granted_total", parts.limitExchange.permitsGranted());
    text += counterText("cranberry_relay_sent_with_permit_total", counters.sentWithPermit);
    text += counterText("cranberry_relay_sent_without_permit_total", counters.sentWithoutPermit);
    text += counterText("cranberry_relay_rejected_by_limit_total", counters.rejected);
    text += "# TYPE cranberry_relay_target_limit gauge\n";
    for (const LimitNews &target : limited.first(std::min(limited.size(), MaxTargetsInMetrics)))
        text += "cranberry_relay_target_limit{target=\"" + target.target.text().toUtf8() + "\"} "
            + QByteArray::number(target.evidence.perSecond.value_or(0)) + '\n';
    text += "# TYPE cranberry_relay_target_limit_part gauge\n";
    for (const LimitNews &target : limited.first(std::min(limited.size(), MaxTargetsInMetrics)))
        text += "cranberry_relay_target_limit_part{target=\"" + target.target.text().toUtf8()
            + "\"} " + QByteArray::number(parts.limitExchange.ownPart(target.target)) + '\n';
    return text;
}

QByteArray availabilityText(const RelayParts &parts)
{
    const TargetAvailability::Counters &counters = parts.availability.counters();
    QByteArray text = gaugeText("cranberry_relay_paused_targets", parts.availability.paused());
    text += counterText("cranberry_relay_pauses_total", counters.pauses);
    text += counterText("cranberry_relay_pauses_unreadable_total", counters.unreadablePauses);
    text += counterText("cranberry_relay_targets_said_leaving_total", counters.leaving);
    text += "# TYPE cranberry_relay_sent_while_paused_total counter\n";
    for (std::size_t purpose = 0; purpose < CallPurposeCount; ++purpose)
        text += QByteArray("cranberry_relay_sent_while_paused_total{call=\"")
            + callPurposeName(CallPurpose(purpose)) + "\"} "
            + QByteArray::number(counters.sentWhilePaused[purpose]) + '\n';
    text += "# TYPE cranberry_relay_calls_withheld_total counter\n";
    for (std::size_t purpose = 0; purpose < CallPurposeCount; ++purpose)
        text += QByteArray("cranberry_relay_calls_withheld_total{call=\"")
            + callPurposeName(CallPurpose(purpose)) + "\"} "
            + QByteArray::number(counters.withheld[purpose]) + '\n';
    return text;
}

QByteArray labelledCounter(const QByteArray &name, const QByteArray &label, const QByteArray &value,
                           qint64 count)
{
    return name + '{' + label + "=\"" + value + "\"} " + QByteArray::number(count) + '\n';
}

QByteArray lateText(const RelayCounters &counters)
{
    QByteArray text = "# TYPE cranberry_relay_late_total counter\n";
    for (std::size_t kind = 0; kind < RequestKindCount; ++kind) {
        for (std::size_t cause = 0; cause < LateCauseCount; ++cause)
            text += QByteArray("cranberry_relay_late_total{kind=\"") + KindNames[kind]
                + "\",cause=\"" + lateCauseName(LateCause(cause)) + "\"} "
                + QByteArray::number(counters.kinds[kind].late[cause]) + '\n';
    }
    return text;
}

QByteArray shutdownText(const RelayParts &parts)
{
    QByteArray text =
        counterText("cranberry_relay_shutdown_rejected_total", parts.counters.shutdownRejected);
    text +=
        counterText("cranberry_relay_shutdown_unfinished_total", parts.counters.shutdownUnfinished);
    text += "# TYPE cranberry_relay_connections gauge\n";
    const ConnectionCounts counts = parts.callers.connectionCounts();
    for (std::size_t state = 0; state < ConnectionStateCount; ++state)
        text += labelledCounter("cranberry_relay_connections", "state",
                                connectionStateName(ConnectionState(state)), counts[state]);
    return text;
}

QByteArray reclaimText(const RelayParts &parts)
{
    const CallerMemory &memory = parts.callerMemory;
    QByteArray text = gaugeText("cranberry_relay_caller_memory_bytes", memory.held().value());
    text += gaugeText("cranberry_relay_caller_memory_capacity_bytes", memory.capacity().value());
    text += counterText("cranberry_relay_memory_reclaimed_total", memory.reclaimed());
    text +=
        counterText("cranberry_relay_connections_replaced_total",
                    parts.callers.replacedConnections() + parts.peerListener.replacedConnections());
    return text;
}

QByteArray admissionText(RelayParts &parts)
{
    const FleetAdmission::Counters &counters = parts.admission.counters();
    const QByteArray prefix = "cranberry_relay_admission_";
    QByteArray text = "# TYPE " + prefix + "rejected_total counter\n";
    for (const auto &[priority, count] : counters.rejected)
        text += labelledCounter(prefix + "rejected_total", "priority", QByteArray::number(priority),
                                count);
    text += "# TYPE " + prefix + "returned_total counter\n";
    for (std::size_t kind = 0; kind < ReturnKindCount; ++kind)
        text += labelledCounter(prefix + "returned_total", "kind", returnKindName(ReturnKind(kind)),
                                counters.returned[kind]);
    text += counterText(prefix + "held_total", counters.held);
    text += counterText(prefix + "out_of_turn_total", counters.outOfTurn);
    text += counterText(prefix + "promises_total", counters.promises);
    const DemandExchange::Counters &exchange = parts.admission.exchangeCounters();
    text += counterText(prefix + "messages_sent_total", exchange.sent);
    text += counterText(prefix + "messages_received_total", exchange.received);
    text += counterText(prefix + "messages_unreadable_total", exchange.unreadable);
    text += gaugeText(prefix + "pressed_services", parts.pressure.pressed());
    QByteArray waiting = "# TYPE " + prefix + "fleet_waiting gauge\n";
    QByteArray usage = "# TYPE " + prefix + "workspace_use gauge\n";
    for (const FleetAdmission::Figures &figures : parts.admission.figures()) {
        const QByteArray service = "{service=\"" + figures.service.text().toUtf8() + "\",";
        for (const auto &[priority, room] : figures.fleetWaiting)
            waiting += prefix + "fleet_waiting" + service + "priority=\""
                + QByteArray::number(priority) + "\"} " + QByteArray::number(room) + '\n';
        for (const WorkspaceRate &rate : figures.usage)
            usage += prefix + "workspace_use" + service + "workspace=\""
                + rate.workspace.text().toUtf8() + "\"} " + QByteArray::number(rate.workPerSecond)
                + '\n';
    }
    return text + waiting + usage;
}

QByteArray speedsText(const RelayParts &parts)
{
    QByteArray text = "# TYPE cranberry_relay_target_speed gauge\n";
    for (const TargetId &id : parts.targets.withSpeed(MaxTargetsInMetrics)) {
        const TargetSpeed &speed = parts.targets.find(id)->speed;
        const std::array<std::pair<const char *, ObservedMean>, 3> rows{
            {{"service_ms", speed.service},
             {"reading_tokens_per_ms", speed.reading},
             {"pace_ms_per_token", speed.pace}}};
        for (const auto &[name, mean] : rows) {
            if (mean.samples > 0)
                text += "cranberry_relay_target_speed{target=\"" + id.text().toUtf8()
                    + "\",figure=\"" + name + "\"} " + QByteArray::number(mean.value) + '\n';
        }
    }
    return text;
}

QByteArray retryUnitsText(RelayParts &parts)
{
    const RelayRetryBudget::Counters &counters = parts.retryBudget.counters();
    QByteArray text = counterText("cranberry_relay_retry_units_asked_total", counters.asked);
    text += counterText("cranberry_relay_retry_units_borrowed_total", counters.borrowed);
    text += counterText("cranberry_relay_retry_units_lent_total", counters.lent);
    text += "# TYPE cranberry_relay_retry_units gauge\n";
    const QHash<ServiceId, RetryDecision> figures = parts.retryBudget.figures(parts.timers.now());
    for (auto entry = figures.cbegin(); entry != figures.cend(); ++entry) {
        const std::array<std::pair<const char *, int>, 4> rows{{{"earned", entry->earned},
                                                                {"borrowed", entry->borrowed},
                                                                {"share", entry->unusedShare},
                                                                {"whole_share", entry->share}}};
        for (const auto &[source, units] : rows)
            text += "cranberry_relay_retry_units{service=\"" + entry.key().text().toUtf8()
                + "\",source=\"" + source + "\"} " + QByteArray::number(units) + '\n';
    }
    return text;
}

QByteArray forwardingText(const RelayParts &parts)
{
    const PeerForwarding &forwarding = parts.forwarding;
    QByteArray text = "# TYPE cranberry_relay_forwarded_total counter\n";
    for (std::size_t outcome = 0; outcome < ForwardOutcomeCount; ++outcome)
        text += QByteArray("cranberry_relay_forwarded_total{outcome=\"")
            + forwardOutcomeName(ForwardOutcome(outcome)) + "\"} "
            + QByteArray::number(forwarding.outcomes()[outcome]) + '\n';
    text += counterText("cranberry_relay_forwards_taken_total", forwarding.takenTotal());
    text += counterText("cranberry_relay_forwards_refused_total", forwarding.refusedTotal());
    text += gaugeText("cranberry_relay_forwards_running", forwarding.running());
    const ReachMonitor::Counters &reach = parts.reach.counters();
    text += counterText("cranberry_relay_reach_probes_total", reach.probes);
    text += counterText("cranberry_relay_services_lost_total", reach.lost);
    text += counterText("cranberry_relay_services_regained_total", reach.regained);
    return text
        + gaugeText("cranberry_relay_unreachable_services", parts.reach.unreachable().size());
}

QByteArray crashesText(const RelayParts &parts)
{
    const CrashGuard::Counters &counters = parts.crashGuard.counters();
    const AttemptMonitor::Counters &attempts = parts.crashGuard.attemptCounters();
    const CrashAdmission::Counters &admission = parts.crashGuard.admissionCounters();
    QByteArray text =
        counterText("cranberry_relay_attempts_unexplained_total", attempts.unexplained);
    text += counterText("cranberry_relay_crash_probes_total", attempts.probes);
    text += counterText("cranberry_relay_attempts_survived_total", attempts.survived);
    text += counterText("cranberry_relay_attempts_suspected_total", attempts.suspected);
    text += counterText("cranberry_relay_attempts_suspected_again_total", attempts.suspectedAgain);
    text += counterText("cranberry_relay_crash_held_total", admission.held);
    text += counterText("cranberry_relay_crash_rejected_total", admission.rejected);
    text += counterText("cranberry_relay_crash_rejected_for_part_total", admission.rejectedForPart);
    text += counterText("cranberry_relay_crash_trials_total", counters.trials);
    text += counterText("cranberry_relay_crash_trials_refused_total", counters.trialsRefused);
    text += counterText("cranberry_relay_crash_messages_sent_total", counters.messagesSent);
    text += counterText("cranberry_relay_crash_messages_received_total", counters.messagesReceived);
    text += gaugeText("cranberry_relay_crash_holding", parts.crashGuard.holding());
    text += gaugeText("cranberry_relay_crash_suspected_parts", parts.crashGuard.suspectedParts());
    return text + gaugeText("cranberry_relay_crash_suspects", parts.crashGuard.suspects());
}

QByteArray stopsText(const RelayParts &parts)
{
    const GenerationStops::Counters &counters = parts.stops.counters();
    const QByteArray prefix = "cranberry_relay_stops_";
    QByteArray text = counterText(prefix + "begun_total", counters.begun);
    text += counterText(prefix + "orders_total", counters.orders);
    text += "# TYPE " + prefix + "ended_total counter\n";
    for (std::size_t outcome = 0; outcome < StopOutcomeCount; ++outcome)
        text += labelledCounter(prefix + "ended_total", "outcome",
                                stopOutcomeName(StopOutcome(outcome)), counters.ended[outcome]);
    text += gaugeText(prefix + "pending", parts.stops.pending());
    return text + counters.overlap.prometheusText("cranberry_relay_stop_overlap_seconds");
}

} // namespace

QByteArray relayMetricsText(RelayParts &parts)
{
    const RelayCounters &counters = parts.counters;
    QByteArray text;
    for (std::size_t kind = 0; kind < RequestKindCount; ++kind)
        text += kindText(KindNames[kind], counters.kinds[kind]);
    text += counterText("cranberry_relay_retries_granted_total", counters.retriesGranted);
    text += counterText("cranberry_relay_retries_refused_total", counters.retriesRefused);
    text += counterText("cranberry_relay_moves_begun_total", counters.movesBegun);
    text += counterText("cranberry_relay_moves_done_total", counters.movesDone);
    text += counterText("cranberry_relay_moves_failed_total", counters.movesFailed);
    text += counterText("cranberry_relay_streams_lost_total", counters.streamsLost);
    text += answerEndsText(counters);
    const HttpConnectionPool::Counters &connections = parts.client.counters();
    text += counterText("cranberry_relay_unexpected_data_total", connections.unexpectedData);
    text += counterText("cranberry_relay_foreign_responses_total", connections.foreignResponses);
    text += counterText("cranberry_relay_store_calls_total", counters.storeCalls);
    text += counterText("cranberry_relay_reports_asked_total", counters.reportsAsked);
    text += counterText("cranberry_relay_unreadable_entries_total", counters.unreadableEntries);
    text += gaugeText("cranberry_relay_settings_faults", counters.settingsFaults);
    text +=
        gaugeText("cranberry_relay_settings_file_usable", counters.isSettingsFileUsable ? 1 : 0);
    text += counterText("cranberry_relay_peer_state_sent_bytes_total", counters.peerStateBytesSent);
    text += counterText("cranberry_relay_peer_state_received_bytes_total",
                        counters.peerStateBytesReceived);
    text += counterText("cranberry_relay_peer_state_failed_total", counters.peerStateFailed);
    text += counters.peerStateResponseTimes.prometheusText("cranberry_relay_peer_state_seconds");
    text += counters.timerLateness.prometheusText("cranberry_relay_timer_lateness_seconds");
    const auto &configuration = parts.gateway.configuration();
    text += gaugeText("cranberry_relay_configuration_version",
                      configuration ? configuration->version.value() : 0);
    text +=
        gaugeText("cranberry_relay_evacuated_data_centres", parts.targets.evacuatedDataCentres());
    const StalenessView staleness = parts.feed.configurationStaleness();
    text += gaugeText("cranberry_relay_configuration_fresh", isWithinBound(staleness) ? 1 : 0);
    text += gaugeText("cranberry_relay_configuration_age_ms", staleness.age.count());
    text += parts.configuration.ages().prometheusText("cranberry_relay_configuration_age_seconds");
    text += gaugeText("cranberry_relay_targets_age_ms", parts.entries.age().count());
    text += parts.entries.ages().prometheusText("cranberry_relay_targets_age_seconds");
    text += limitsText(parts);
    text += availabilityText(parts);
    text += retryUnitsText(parts);
    text += forwardingText(parts);
    text += crashesText(parts);
    text += stopsText(parts);
    text += lateText(counters);
    text += shutdownText(parts);
    text += reclaimText(parts);
    text += admissionText(parts);
    text += speedsText(parts);
    text += gaugeText("cranberry_relay_entries_fed", parts.entries.isFed() ? 1 : 0);
    text += gaugeText("cranberry_relay_configuration_fed", parts.configuration.isFed() ? 1 : 0);
    text += gaugeText("cranberry_relay_running", parts.gateway.running());
    text += gaugeText("cranberry_relay_waiting", parts.waiting.size());
    return text + gaugeText("cranberry_relay_connections", parts.callers.openConnections());
}

} // namespace cranberry
