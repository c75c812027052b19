// Defines the engine model: continuous batching in a memory that can run out.
#pragma once

#include <QByteArray>
#include <QHash>
#include <QList>
#include <QSet>

namespace cranberry::test {

struct EngineSettings {
    int capacityTokens = 8192;
    int blockTokens = 16;
    int maxBatch = 64;
    /// A step takes base + perStream * decoding streams + perPrefillToken * prompt tokens done.
    double stepBaseMs = 6.0;
    double stepPerStreamMs = 0.15;
    double stepPerPrefillTokenMs = 0.04;
    /// Prompt tokens done in one step, over all streams.
    int prefillChunk = 512;
    /// Memory of the prefix cache, apart from the capacity.
    int cacheTokens = 4096;
};

enum class GenerationState {
    Waiting,
    Prefilling,
    Decoding,
    Finished,
    Cancelled,
};

struct Generation {
    QByteArray attempt;
    int priority = 0;
    int promptTokens = 1;
    /// Tokens that it will generate; nobody outside knows.
    int length = 1;
    /// Key of its prefix in the cache and the tokens that it covers; empty if none.
    QByteArray prefixKey;
    int prefixTokens = 0;

    // Set by the functions below.
    GenerationState state = GenerationState::Waiting;
    quint64 order = 0;
    int generated = 0;
    int prefillLeft = 0;
    int blocks = 0;
    bool started = false;
    int preemptions = 0;
};

struct CacheChange {
    QByteArray prefixKey;
    bool stored = false;
};

/// What one step did. Its tokens come about when its duration has passed.
struct EngineStep {
    double durationMs = 0;
    /// Generations that gained their next token.
    QList<QByteArray> advanced;
    /// Generations that were started for the first time.
    QList<QByteArray> started;
    QList<CacheChange> cacheChanges;
    int preemptions = 0;
};

struct Engine {
    EngineSettings settings;
    QHash<QByteArray, Generation> generations;
    /// Attempts in the batch and those that wait, best first.
    QList<QByteArray> batch;
    QList<QByteArray> waiting;
    /// Prefix keys, the least recently used first, with their tokens.
    QList<QByteArray> cacheOrder;
    QHash<QByteArray, int> cache;
    /// Attempts that were cancelled before they started, or before they came: they never start.
    QSet<QByteArray> tombstones;
    quint64 nextOrder = 0;
    qint64 preemptions = 0;
    qint64 tokens = 0;
};

struct CancelOutcome {
    bool started = false;
    bool finished = false;
};

/// Blocks in use. No side effects.
int usedBlocks(const Engine &engine);

/// Blocks that the memory holds. No side effects.
int totalBlocks(const EngineSettings &settings);

/// Puts @p generation into the waiting queue. False if its attempt is known or cancelled, or
/// if its prompt can never fit.
bool submit(Engine &engine, Generation generation);

/// Cancels @p attempt and frees its memory; an attempt not yet seen gets a tombstone.
CancelOutcome cancel(Engine &engine, const QByteArray &attempt);

/// True if there is nothing to do.
bool isIdle(const Engine &engine);

/// Does one step: admits from the queue, makes room for the next tokens by preempting the
/// lowest priority and latest request, and does prompt work within the chunk.
EngineStep step(Engine &engine);

} // namespace cranberry::test
