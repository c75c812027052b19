// Each token once, in order, from one generation: the rule, under random interleavings.
#define BOOST_TEST_MODULE TokenOrder
#include <boost/test/unit_test.hpp>

#include "delivery/TokenSequence.h"

#include <random>
#include <vector>

using namespace cranberry;

namespace {

const AttemptId Chosen(QStringLiteral("chosen"));
const AttemptId Other(QStringLiteral("other"));

struct Arrival {
    AttemptId attempt;
    qint64 index = 0;
    bool isLast = false;
};

/// What several streams bring when links stall, resumes overlap and answers cross: every
/// stream of the chosen generation in its own order from some start, and strays of another.
std::vector<Arrival> interleaved(int length, std::mt19937_64 &random)
{
    std::vector<std::vector<Arrival>> streams;
    streams.emplace_back();
    for (int i = 0; i < length; ++i)
        streams[0].push_back({Chosen, i, i == length - 1});
    for (int resume = 0; resume < 3; ++resume) {
        const int from = int(random() % quint64(length));
        streams.emplace_back();
        for (int i = from; i < length; ++i)
            streams.back().push_back({Chosen, i, i == length - 1});
    }
    streams.emplace_back();
    for (int i = 0; i < length; ++i)
        streams.back().push_back({Other, i, i == length - 1});
    std::vector<Arrival> arrivals{streams[0][0]};
    std::vector<size_t> next(streams.size(), 0);
    next[0] = 1;
    for (;;) {
        std::vector<size_t> open;
        for (size_t s = 0; s < streams.size(); ++s) {
            if (next[s] < streams[s].size())
                open.push_back(s);
        }
        if (open.empty())
            return arrivals;
        const size_t chosen = open[random() % open.size()];
        arrivals.push_back(streams[chosen][next[chosen]++]);
        if (random() % 8 == 0)
            arrivals.push_back(arrivals.back());
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(AnyInterleavingDeliversTheWholeAnswerOnceAndInOrder)
{
    // A user would see a word twice, out of place or from another answer: a link stalls, a
    // resume replays beside it, the old link comes back, and a target mixes in an answer to
    // another send. Whatever comes, only the next token of the chosen generation passes.
    for (quint64 seed = 1; seed <= 2000; ++seed) {
        std::mt19937_64 random(seed);
        const int length = 1 + int(random() % 40);
        TokenSequence sequence;
        std::vector<qint64> delivered;
        for (const Arrival &arrival : interleaved(length, random)) {
            const TokenVerdict verdict =
                acceptToken(sequence, arrival.attempt, arrival.index, arrival.isLast);
            if (verdict != TokenVerdict::Deliver)
                continue;
            BOOST_REQUIRE(arrival.attempt == Chosen);
            delivered.push_back(arrival.index);
        }
        BOOST_REQUIRE_EQUAL(delivered.size(), size_t(length));
        for (int i = 0; i < length; ++i)
            BOOST_REQUIRE_EQUAL(delivered[size_t(i)], i);
        BOOST_REQUIRE(sequence.complete);
    }
}

BOOST_AUTO_TEST_CASE(EveryVerdictHasItsCase)
{
    TokenSequence sequence;
    BOOST_CHECK(acceptToken(sequence, Chosen, 1, false) == TokenVerdict::Gap);
    BOOST_CHECK(acceptToken(sequence, Chosen, 0, false) == TokenVerdict::Deliver);
    BOOST_CHECK(acceptToken(sequence, Chosen, 0, false) == TokenVerdict::Duplicate);
    BOOST_CHECK(acceptToken(sequence, Other, 1, false) == TokenVerdict::OtherGeneration);
    BOOST_CHECK(acceptToken(sequence, Chosen, 1, true) == TokenVerdict::Deliver);
    BOOST_CHECK(acceptToken(sequence, Chosen, 2, false) == TokenVerdict::AfterEnd);
    BOOST_CHECK(acceptToken(sequence, Other, 2, false) == TokenVerdict::OtherGeneration);
}
