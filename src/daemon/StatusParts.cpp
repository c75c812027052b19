#include "daemon/StatusParts.h"

#include "configuration/Configuration.h"
#include "membership/MemberView.h"
#include "placement/TargetTable.h"
#include "quarantine/Quarantine.h"

#include <QDateTime>
#include <QJsonObject>

namespace cranberry {

namespace {

QString toText(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return QStringLiteral("alive");
    case MemberState::Suspect:
        return QStringLiteral("suspect");
    case MemberState::Leaving:
        return QStringLiteral("leaving");
    case MemberState::Dead:
        break;
    }
    return QStringLiteral("dead");
}

} // namespace

QJsonArray memberStatus(const MemberView &members)
{
    QJsonArray status;
    for (const Member &member : members.members()) {
        status.append(QJsonObject{
            {QStringLiteral("vm"), member.vm.text()},
            {QStringLiteral("data_centre"), member.dataCentre.text()},
            {QStringLiteral("state"), toText(member.state)},
            {QStringLiteral("configuration_version"), member.configurationVersion.value()}});
    }
    return status;
}

QJsonArray targetStatus(const TargetTable &targets, const Configuration &configuration,
                        MonotonicTime now)
{
    QJsonArray status;
    for (const TargetLoad &load : targets.allLoads(now)) {
        status.append(QJsonObject{
            {QStringLiteral("target"), load.target.text()},
            {QStringLiteral("service"), configuration.targets.value(load.target).service.text()},
            {QStringLiteral("resident_tokens"), load.residentTokens.value()},
            {QStringLiteral("capacity_tokens"), load.capacityTokens.value()},
            {QStringLiteral("running"), load.running},
            {QStringLiteral("waiting"), load.waiting},
            {QStringLiteral("leaving"), targets.isLeaving(load.target)},
            {QStringLiteral("dead"), targets.isDead(load.target)}});
    }
    return status;
}

QJsonArray quarantineStatus(Quarantine &quarantine, MonotonicTime now)
{
    QJsonArray status;
    const QDateTime wallClock = QDateTime::currentDateTimeUtc();
    for (const QuarantineEntry &entry : quarantine.entries(now)) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(entry.until - now);
        status.append(QJsonObject{{QStringLiteral("workspace"), entry.workspace.text()},
                                  {QStringLiteral("fingerprint"), entry.fingerprint.text()},
                                  {QStringLiteral("until"),
                                   wallClock.addMSecs(remaining.count()).toString(Qt::ISODate)}});
    }
    return status;
}

} // namespace cranberry
