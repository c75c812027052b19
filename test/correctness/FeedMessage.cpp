// The messages by which daemons tell each other what the store says.
#define BOOST_TEST_MODULE FeedMessage
#include <boost/test/unit_test.hpp>

#include "relay/FeedMessage.h"

#include <QCborValue>
#include <QRandomGenerator>

using namespace cranberry;

namespace {

FeedMessage messageOf(int items)
{
    FeedMessage message;
    message.role = FeedRole::Watcher;
    message.base = Revision(10);
    message.upTo = Revision(10 + items);
    message.configurationRevision = Revision(7);
    message.targetCount = 68;
    for (int i = 0; i < items; ++i)
        message.items.append({QStringLiteral("targets/%1").arg(i),
                              QByteArray(250, char('a' + i % 26)), Revision(11 + i), i % 3 == 0});
    return message;
}

} // namespace

BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWere)
{
    FeedMessage sent = messageOf(5);
    sent.configurationAge = Milliseconds(120);
    sent.targetsAge = Milliseconds(340);
    const std::optional<FeedMessage> read = decodeFeedMessage(encodeFeedMessage(sent));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->role == sent.role));
    BOOST_TEST((read->base == sent.base && read->upTo == sent.upTo));
    BOOST_TEST((read->configurationRevision == sent.configurationRevision));
    BOOST_TEST(read->targetCount == sent.targetCount);
    BOOST_TEST((read->configurationAge == sent.configurationAge));
    BOOST_TEST((read->targetsAge == sent.targetsAge));
    BOOST_REQUIRE(read->items.size() == sent.items.size());
    for (qsizetype i = 0; i < sent.items.size(); ++i) {
        BOOST_TEST((read->items.at(i).key == sent.items.at(i).key));
        BOOST_TEST((read->items.at(i).value == sent.items.at(i).value));
        BOOST_TEST((read->items.at(i).revision == sent.items.at(i).revision));
        BOOST_TEST(read->items.at(i).isRemoved == sent.items.at(i).isRemoved);
    }
}

// A group of 90 targets left at once and its changes did not fit one datagram: each part follows on
// the one before, so that a daemon that misses one notices.
BOOST_AUTO_TEST_CASE(PartsFollowOnEachOther)
{
    const FeedMessage whole = messageOf(90);
    const QList<FeedMessage> parts = splitForDatagrams(whole);
    BOOST_TEST(parts.size() > 1);
    Revision reached = whole.base;
    qsizetype items = 0;
    for (const FeedMessage &part : parts) {
        BOOST_TEST((part.base == reached));
        BOOST_TEST(QCborValue(encodeFeedMessage(part)).toCbor().size() < 1400);
        reached = part.upTo;
        items += part.items.size();
    }
    BOOST_TEST((reached == whole.upTo));
    BOOST_TEST(items == whole.items.size());
}

// Guards against a receiver that counts as fresh before it has the last part.
BOOST_AUTO_TEST_CASE(OnlyTheLastPartTellsTheAge)
{
    FeedMessage whole = messageOf(90);
    whole.targetsAge = Milliseconds(340);
    const QList<FeedMessage> parts = splitForDatagrams(whole);
    for (qsizetype i = 0; i + 1 < parts.size(); ++i)
        BOOST_TEST((parts.at(i).targetsAge == UnknownAge));
    BOOST_TEST((parts.last().targetsAge == whole.targetsAge));
}

BOOST_AUTO_TEST_CASE(HeartbeatIsOneMessageWithoutItems)
{
    const QList<FeedMessage> parts = splitForDatagrams(messageOf(0));
    BOOST_REQUIRE(parts.size() == 1);
    BOOST_TEST(parts.first().items.isEmpty());
}

// A datagram was damaged where its items stand. Taken for one without items it moved the receiver
// on to a revision whose changes it never got. It is refused, or says what was sent.
BOOST_AUTO_TEST_CASE(DamagedItemsAreNotTakenForNone)
{
    const FeedMessage sent = messageOf(8);
    const QCborArray sound = encodeFeedMessage(sent);
    int refused = 0;
    for (quint32 seed = 1; seed <= 2000; ++seed) {
        QRandomGenerator random(seed);
        QByteArray items = sound.at(3).toByteArray();
        const int at = random.bounded(int(items.size()));
        items[at] = char(items[at] ^ char(1 + random.bounded(255)));
        QCborArray damaged = sound;
        damaged[3] = items;
        const std::optional<FeedMessage> read = decodeFeedMessage(damaged);
        refused += read ? 0 : 1;
        BOOST_TEST((!read || read->items.size() == sent.items.size()));
    }
    BOOST_TEST(refused > 1000);
}

// Whatever arrives in place of a message, a daemon does not crash by it.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreHarmless)
{
    const QByteArray sound = QCborValue(encodeFeedMessage(messageOf(8))).toCbor();
    for (quint32 seed = 1; seed <= 2000; ++seed) {
        QRandomGenerator random(seed);
        QByteArray damaged = sound;
        for (int changes = 1 + random.bounded(6); changes > 0; --changes)
            damaged[random.bounded(int(damaged.size()))] = char(random.bounded(256));
        (void)decodeFeedMessage(QCborValue::fromCbor(damaged).toArray());
    }
    BOOST_TEST(decodeFeedMessage(QCborValue::fromCbor(sound).toArray()).has_value());
    BOOST_TEST(!decodeFeedMessage({}).has_value());
    BOOST_TEST(!decodeFeedMessage({3, 0, 0, QByteArray(), 0, 0}).has_value());
}
