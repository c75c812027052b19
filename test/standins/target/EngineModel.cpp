#include "standins/target/EngineModel.h"

#include <algorithm>

namespace cranberry::test {

namespace {

int blocksFor(const EngineSettings &settings, int tokens)
{
    return (tokens + settings.blockTokens - 1) / settings.blockTokens;
}

const Generation &generationOf(const Engine &engine, const QByteArray &attempt)
{
    return *engine.generations.constFind(attempt);
}

int freeBlocks(const Engine &engine)
{
    return totalBlocks(engine.settings) - usedBlocks(engine);
}

bool comesBefore(const Generation &a, const Generation &b)
{
    if (a.priority != b.priority)
        return a.priority > b.priority;
    return a.order < b.order;
}

void insertSorted(const Engine &engine, QList<QByteArray> &queue, const QByteArray &attempt)
{
    const Generation &generation = generationOf(engine, attempt);
    const auto place = std::upper_bound(
        queue.begin(), queue.end(), attempt, [&](const QByteArray &, const QByteArray &other) {
            return comesBefore(generation, generationOf(engine, other));
        });
    queue.insert(place, attempt);
}

void touchCache(Engine &engine, const Generation &generation, EngineStep &outcome)
{
    if (generation.prefixKey.isEmpty() || generation.prefixTokens > engine.settings.cacheTokens)
        return;
    if (engine.cache.contains(generation.prefixKey)) {
        engine.cacheOrder.removeOne(generation.prefixKey);
    } else {
        engine.cache.insert(generation.prefixKey, generation.prefixTokens);
        outcome.cacheChanges.append({generation.prefixKey, true});
    }
    engine.cacheOrder.append(generation.prefixKey);
    int cached = 0;
    for (const int tokens : std::as_const(engine.cache))
        cached += tokens;
    while (cached > engine.settings.cacheTokens) {
        const QByteArray oldest = engine.cacheOrder.takeFirst();
        cached -= engine.cache.take(oldest);
        outcome.cacheChanges.append({oldest, false});
    }
}

/// A generation that was preempted recomputes its own tokens too.
void startPrefill(Engine &engine, Generation &generation, EngineStep &outcome)
{
    const int resident = generation.promptTokens + generation.generated;
    const bool hit = engine.cache.contains(generation.prefixKey);
    generation.prefillLeft = std::max(1, resident - (hit ? generation.prefixTokens : 0));
    generation.blocks = blocksFor(engine.settings, resident + 1);
    generation.state = GenerationState::Prefilling;
    if (!generation.started) {
        generation.started = true;
        outcome.started.append(generation.attempt);
    }
}

void admit(Engine &engine, EngineStep &outcome)
{
    while (!engine.waiting.isEmpty() && engine.batch.size() < engine.settings.maxBatch) {
        Generation &generation = engine.generations[engine.waiting.first()];
        const int resident = generation.promptTokens + generation.generated;
        if (blocksFor(engine.settings, resident + 1) > freeBlocks(engine))
            return;
        engine.waiting.removeFirst();
        startPrefill(engine, generation, outcome);
        insertSorted(engine, engine.batch, generation.attempt);
    }
}

void preempt(Engine &engine, const QByteArray &attempt, EngineStep &outcome)
{
    Generation &generation = engine.generations[attempt];
    generation.state = GenerationState::Waiting;
    generation.blocks = 0;
    generation.prefillLeft = 0;
    ++generation.preemptions;
    ++engine.preemptions;
    ++outcome.preemptions;
    engine.batch.removeOne(attempt);
    insertSorted(engine, engine.waiting, attempt);
}

/// Gives each decoding generation, best first, room for its next token.
void makeRoom(Engine &engine, EngineStep &outcome)
{
    for (int i = 0; i < engine.batch.size(); ++i) {
        Generation &generation = engine.generations[engine.batch.at(i)];
        if (generation.state != GenerationState::Decoding)
            continue;
        const int needed =
            blocksFor(engine.settings, generation.promptTokens + generation.generated + 1);
        while (needed > generation.blocks && freeBlocks(engine) < 1) {
            if (engine.batch.size() == 1) {
                generation.length = generation.generated; // the memory cannot hold more
                break;
            }
            preempt(engine, engine.batch.last(), outcome);
            if (generation.state == GenerationState::Waiting)
                break;
        }
        if (generation.state == GenerationState::Decoding)
            generation.blocks = std::max(generation.blocks, needed);
    }
}

void advance(Engine &engine, Generation &generation, EngineStep &outcome)
{
    generation.generated = std::min(generation.generated + 1, generation.length);
    ++engine.tokens;
    outcome.advanced.append(generation.attempt);
    if (generation.generated < generation.length)
        return;
    generation.state = GenerationState::Finished;
    generation.blocks = 0;
    engine.batch.removeOne(generation.attempt);
}

/// Does prompt work within the chunk; returns the tokens done.
int prefill(Engine &engine, QList<QByteArray> &completed, EngineStep &outcome)
{
    int budget = engine.settings.prefillChunk;
    for (const QByteArray &attempt : std::as_const(engine.batch)) {
        Generation &generation = engine.generations[attempt];
        if (generation.state != GenerationState::Prefilling || budget == 0)
            continue;
        const int done = std::min(budget, generation.prefillLeft);
        generation.prefillLeft -= done;
        budget -= done;
        if (generation.prefillLeft > 0)
            continue;
        generation.state = GenerationState::Decoding;
        touchCache(engine, generation, outcome);
        completed.append(attempt);
    }
    return engine.settings.prefillChunk - budget;
}

} // namespace

int usedBlocks(const Engine &engine)
{
    int used = 0;
    for (const QByteArray &attempt : engine.batch)
        used += generationOf(engine, attempt).blocks;
    return used;
}

int totalBlocks(const EngineSettings &settings)
{
    return settings.capacityTokens / settings.blockTokens;
}

bool submit(Engine &engine, Generation generation)
{
    if (engine.tombstones.contains(generation.attempt)
        || engine.generations.contains(generation.attempt)) {
        return false;
    }
    if (blocksFor(engine.settings, generation.promptTokens + 1) > totalBlocks(engine.settings))
        return false;
    generation.order = engine.nextOrder++;
    const QByteArray attempt = generation.attempt;
    engine.generations.insert(attempt, generation);
    insertSorted(engine, engine.waiting, attempt);
    return true;
}

CancelOutcome cancel(Engine &engine, const QByteArray &attempt)
{
    const auto found = engine.generations.find(attempt);
    if (found == engine.generations.end()) {
        engine.tombstones.insert(attempt);
        return {};
    }
    const CancelOutcome outcome{found->started, found->state == GenerationState::Finished};
    if (!found->started)
        engine.tombstones.insert(attempt);
    if (!outcome.finished)
        found->state = GenerationState::Cancelled;
    found->blocks = 0;
    engine.batch.removeOne(attempt);
    engine.waiting.removeOne(attempt);
    return outcome;
}

bool isIdle(const Engine &engine)
{
    return engine.batch.isEmpty() && engine.waiting.isEmpty();
}

EngineStep step(Engine &engine)
{
    EngineStep outcome;
    makeRoom(engine, outcome);
    // What was preempted in this step has to wait: it would take the room at once again.
    if (outcome.preemptions == 0)
        admit(engine, outcome);
    QList<QByteArray> ready;
    for (const QByteArray &attempt : std::as_const(engine.batch)) {
        if (engine.generations[attempt].state == GenerationState::Decoding)
            ready.append(attempt);
    }
    const int prefilled = prefill(engine, ready, outcome);
    const EngineSettings &settings = engine.settings;
    outcome.durationMs = settings.stepBaseMs + settings.stepPerStreamMs * ready.size()
        + settings.stepPerPrefillTokenMs * prefilled;
    for (const QByteArray &attempt : std::as_const(ready))
        advance(engine, engine.generations[attempt], outcome);
    return outcome;
}

} // namespace cranberry::test
