// The stand-in's engine model: batching, preemption, priorities, cache and cancel.
#define BOOST_TEST_MODULE EngineModel
#include <boost/test/unit_test.hpp>

#include "standins/target/EngineModel.h"
#include "support/ExpectedText.h"

#include <QString>

using namespace cranberry::test;

namespace {

Generation request(const QByteArray &attempt, int promptTokens, int length, int priority = 0)
{
    Generation generation;
    generation.attempt = attempt;
    generation.promptTokens = promptTokens;
    generation.length = length;
    generation.priority = priority;
    return generation;
}

Engine smallEngine(int capacityTokens)
{
    Engine engine;
    engine.settings.capacityTokens = capacityTokens;
    return engine;
}

void runToEnd(Engine &engine)
{
    constexpr int StepLimit = 10'000;
    for (int i = 0; i < StepLimit && !isIdle(engine); ++i)
        step(engine);
}

} // namespace

BOOST_AUTO_TEST_CASE(StepGrowsWithTheBatchAndWithPromptWork)
{
    Engine engine;
    submit(engine, request("a", 400, 10));
    const double withPrompt = step(engine).durationMs;
    const double alone = step(engine).durationMs;
    submit(engine, request("b", 1, 10));
    step(engine);
    const double together = step(engine).durationMs;
    BOOST_TEST(withPrompt > alone);
    BOOST_TEST(together > alone);
}

BOOST_AUTO_TEST_CASE(LongPromptIsDoneInChunks)
{
    Engine engine;
    engine.settings.prefillChunk = 100;
    submit(engine, request("a", 250, 2));
    BOOST_TEST(step(engine).advanced.isEmpty());
    BOOST_TEST(step(engine).advanced.isEmpty());
    BOOST_TEST(step(engine).advanced.size() == 1);
}

BOOST_AUTO_TEST_CASE(FullMemoryPreemptsTheLatestWhichGoesOnLater)
{
    Engine engine = smallEngine(256);
    submit(engine, request("first", 64, 100));
    submit(engine, request("second", 64, 100));
    runToEnd(engine);
    BOOST_TEST(engine.preemptions > 0);
    BOOST_TEST(engine.generations["first"].preemptions == 0);
    BOOST_TEST(engine.generations["second"].preemptions > 0);
    BOOST_TEST(engine.generations["first"].generated == 100);
    BOOST_TEST(engine.generations["second"].generated == 100);
    BOOST_TEST(usedBlocks(engine) == 0);
}

BOOST_AUTO_TEST_CASE(LowerPriorityIsPreemptedFirst)
{
    Engine engine = smallEngine(256);
    submit(engine, request("low", 64, 100, 0));
    submit(engine, request("high", 64, 100, 5));
    runToEnd(engine);
    BOOST_TEST(engine.generations["low"].preemptions > 0);
    BOOST_TEST(engine.generations["high"].preemptions == 0);
}

BOOST_AUTO_TEST_CASE(UsedMemoryNeverPassesTheCapacity)
{
    Engine engine = smallEngine(512);
    for (int i = 0; i < 20; ++i)
        submit(engine, request("g" + QByteArray::number(i), 30 + i, 50 + 7 * i));
    bool within = true;
    while (!isIdle(engine)) {
        step(engine);
        within = within && usedBlocks(engine) <= totalBlocks(engine.settings);
    }
    BOOST_TEST(within);
    for (const Generation &generation : std::as_const(engine.generations))
        BOOST_TEST(generation.generated == generation.length);
}

BOOST_AUTO_TEST_CASE(WaitingQueueServesHigherPriorityFirst)
{
    Engine engine;
    engine.settings.maxBatch = 1;
    submit(engine, request("running", 4, 3));
    step(engine);
    submit(engine, request("low", 4, 3, 0));
    submit(engine, request("high", 4, 3, 1));
    while (!engine.generations["running"].generated || engine.batch.contains("running"))
        step(engine);
    step(engine);
    BOOST_TEST(engine.batch.contains("high"));
}

BOOST_AUTO_TEST_CASE(CachedPrefixSavesPromptWork)
{
    Engine engine;
    Generation first = request("a", 400, 1);
    first.prefixKey = "p";
    first.prefixTokens = 300;
    Generation second = first;
    second.attempt = "b";
    submit(engine, first);
    const EngineStep cold = step(engine);
    submit(engine, second);
    const EngineStep warm = step(engine);
    BOOST_TEST(cold.cacheChanges.size() == 1);
    BOOST_TEST(warm.durationMs < cold.durationMs);
}

BOOST_AUTO_TEST_CASE(FullCacheForgetsTheLeastRecentlyUsed)
{
    Engine engine;
    engine.settings.cacheTokens = 200;
    for (const char *key : {"p", "q", "r"}) {
        Generation generation = request(key, 150, 1);
        generation.prefixKey = key;
        generation.prefixTokens = 100;
        submit(engine, generation);
        step(engine);
    }
    BOOST_TEST(!engine.cache.contains("p"));
    BOOST_TEST(engine.cache.contains("q"));
    BOOST_TEST(engine.cache.contains("r"));
}

BOOST_AUTO_TEST_CASE(CancelledBeforeItsStartNeverStarts)
{
    Engine engine;
    submit(engine, request("a", 4, 3));
    BOOST_TEST(!cancel(engine, "a").started);
    BOOST_TEST(!cancel(engine, "never seen").started);
    BOOST_TEST(!submit(engine, request("a", 4, 3)));
    BOOST_TEST(!submit(engine, request("never seen", 4, 3)));
    BOOST_TEST(isIdle(engine));
}

BOOST_AUTO_TEST_CASE(CancelWhileRunningSaysSoAndFreesTheMemory)
{
    Engine engine;
    submit(engine, request("a", 4, 30));
    step(engine);
    const CancelOutcome outcome = cancel(engine, "a");
    BOOST_TEST(outcome.started);
    BOOST_TEST(!outcome.finished);
    BOOST_TEST(usedBlocks(engine) == 0);
}

BOOST_AUTO_TEST_CASE(AnswerOfAnotherPromptOrGenerationIsSeen)
{
    const QString prompt = QStringLiteral("recap");
    const QByteArray hash = promptHash(prompt);
    QList<QByteArray> tokens;
    for (int i = 0; i < 5; ++i)
        tokens.append(tokenText("a1", hash, i));
    BOOST_CHECK(checkAnswer(prompt, tokens) == AnswerFault::None);
    BOOST_CHECK(checkAnswer(QStringLiteral("other"), tokens) == AnswerFault::Crossed);
    BOOST_CHECK(checkAnswer(prompt, {}) == AnswerFault::Malformed);
    QList<QByteArray> doubled = tokens;
    doubled.insert(3, tokens.at(3));
    BOOST_CHECK(checkAnswer(prompt, doubled) == AnswerFault::OutOfOrder);
    QList<QByteArray> spliced = tokens;
    spliced[3] = tokenText("a2", hash, 3);
    BOOST_CHECK(checkAnswer(prompt, spliced) == AnswerFault::OutOfOrder);
    QByteArray joined;
    for (const QByteArray &token : std::as_const(tokens))
        joined += token;
    BOOST_CHECK(splitTokens(joined) == tokens);
}
