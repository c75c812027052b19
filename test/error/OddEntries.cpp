// Tests entries that another writer left among those of the targets.
#define BOOST_TEST_MODULE OddEntries
#include <boost/test/unit_test.hpp>

#include "standins/users/ScriptedRunner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QRegularExpression>

using namespace cranberry;
using standin::ScriptedRunner;

namespace {

QByteArray entryWith(const QByteArray &members)
{
    return R"({"zone": "hall", "state": "ready", )" + members + '}';
}

/// Entries that no target writes, by a name for each.
QList<std::pair<QByteArray, QByteArray>> oddEntries()
{
    QList<std::pair<QByteArray, QByteArray>> entries;
    const QByteArray good = R"("service": "plain", "address": "127.0.0.1:1", )";
    for (const int depth : {600, 2000, 100000}) {
        const QByteArray name = "nested-" + QByteArray::number(depth);
        const QByteArray lists = QByteArray(depth, '[') + QByteArray(depth, ']');
        entries.append({name, lists});
        entries.append({name + "-member", entryWith(good + R"("slots": 1, "more": )" + lists)});
        entries.append({name + "-slots", entryWith(good + R"("slots": )" + lists)});
    }
    const QList<QByteArray> numbers{"9223372036854775807",
                                    "9223372036854775808",
                                    "-9223372036854775808",
                                    "18446744073709551616",
                                    "2000000000",
                                    "1e308",
                                    "1e999",
                                    "-1",
                                    "0.5"};
    for (const QByteArray &number : numbers) {
        for (const QByteArray member : {"slots", "coldLeftMs", "seqNo", "born"}) {
            const QByteArray slotCount = member == "slots" ? QByteArray() : R"("slots": 1, )";
            entries.append(
                {member + number, entryWith(good + slotCount + '"' + member + "\": " + number)});
        }
    }
    for (const QByteArray port : {"0", "-1", "65536", "99999", "18446744073709551617", "x", ""})
        entries.append({"port" + port,
                        entryWith(R"("service": "plain", "slots": 1, "address": )"
                                  "\"127.0.0.1:"
                                  + port + '"')});
    for (const QByteArray host : {"", "256.1.1.1", "::1", "127.0.0.1:1:1"})
        entries.append(
            {"host" + host,
             entryWith(R"("service": "plain", "slots": 1, "address": ")" + host + ":80\"")});
    return entries;
}

struct Fixture {
    Fixture()
    {
        for (ScriptedRunner *target : {&first, &second})
            target->setScript(ScriptedRunner::run);
        announce(first);
        site.setColdRate(10);
        site.configure(1);
        site.setFirstStart();
        daemon = site.startDaemon();
    }

    void announce(const ScriptedRunner &target)
    {
        site.store().put(QStringLiteral("servers/") + QString::fromLatin1(target.id()),
                         target.entry("plain"));
    }
    void put(const std::pair<QByteArray, QByteArray> &entry)
    {
        site.store().put(QStringLiteral("servers/odd-") + QString::fromLatin1(entry.first),
                         entry.second);
    }
    bool isServed(const QByteArray &path)
    {
        const QByteArray id = "r" + QByteArray::number(++requests);
        return site.call(daemon, "GET", path, id)->response.status == 200;
    }
    /// Checks that the daemon runs, serves, and follows the targets and the configuration.
    void checkFollows()
    {
        announce(second);
        BOOST_TEST(test::waitFor(
            [&] { return site.log(daemon).contains("name=target.joined target=plain-2"); }));
        site.store().remove(QStringLiteral("servers/plain-1"));
        BOOST_TEST(test::waitFor([&] { return isServed("/safe/a") && second.ran().size() > 5; }));
        site.configure(2, true);
        BOOST_TEST(test::waitFor([&] { return isServed("/extra/a"); }));
        BOOST_TEST(!site.hasEnded(daemon));
        BOOST_TEST(site.isReady(daemon));
    }
    void checkColdTimes()
    {
        // A time that overflowed is a target that is not slow, or slow for ever.
        static const QRegularExpression negative(QStringLiteral("name=target.cold .*left_ms=-"));
        const QString log = QString::fromUtf8(site.log(daemon));
        BOOST_TEST(!negative.match(log).hasMatch());
        BOOST_TEST(log.contains(QStringLiteral("name=target.cold ")));
    }

    test::PlatformSite site;
    ScriptedRunner first{"plain-1"};
    ScriptedRunner second{"plain-2"};
    int daemon = -1;
    int requests = 0;
};

} // namespace

// Guards against daemons that end or stop following the targets after one odd entry.
BOOST_FIXTURE_TEST_CASE(OneAfterTheOtherIsPassedOver, Fixture)
{
    for (const auto &entry : oddEntries()) {
        put(entry);
        BOOST_TEST_CONTEXT(entry.first.data())
        {
            BOOST_TEST(
                test::waitFor([&] { return site.log(daemon).contains("odd-" + entry.first); }));
            BOOST_TEST(!site.hasEnded(daemon));
        }
        site.store().remove(QStringLiteral("servers/odd-") + QString::fromLatin1(entry.first));
    }
    checkFollows();
    checkColdTimes();
}

// The same with all of them at once, before and after the start of a daemon.
BOOST_FIXTURE_TEST_CASE(AllAtOnceArePassedOver, Fixture)
{
    for (const auto &entry : oddEntries())
        put(entry);
    const int known = daemon;
    daemon = site.startDaemon();
    BOOST_TEST(isServed("/safe/a"));
    daemon = known;
    checkFollows();
    checkColdTimes();
    BOOST_TEST(!site.hasEnded(known + 1));
}

// Guards against the end of a daemon by an odd value over a target's own entry.
BOOST_FIXTURE_TEST_CASE(OneOverTheEntryOfATargetIsPassedOver, Fixture)
{
    for (const auto &entry : oddEntries()) {
        site.store().put(QStringLiteral("servers/plain-1"), entry.second);
        BOOST_TEST_CONTEXT(entry.first.data())
        BOOST_TEST(!site.hasEnded(daemon));
    }
    announce(first);
    BOOST_TEST(test::waitFor([&] { return isServed("/safe/a"); }));
    checkFollows();
}
