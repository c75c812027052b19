// Compares ways in which a daemon decides whose memory is freed, in virtual time.
#include "http/MemoryReclaim.h"

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <random>
#include <vector>

using namespace cranberry;

namespace {

constexpr unsigned Seeds = 5;
constexpr Milliseconds Duration{30'000};
constexpr Bytes Capacity{22 * 1024 * 1024};
constexpr int OrdinaryPerSecond = 40;
/// From the first byte of an ordinary request to its response.
constexpr int MaxOrdinaryMs = 400;
/// One ordinary request of this many has a large body.
constexpr int LargeFraction = 20;
constexpr Bytes LargeBody{2 * 1024 * 1024};

enum class Policy {
    /// Whoever finds no room is rejected.
    RejectNewest,
    Oldest,
    Largest,
    /// Most bytes, multiplied by their age, as chooseReclaims().
    ByteSeconds,
    ByteSquaredSeconds,
};
constexpr const char *PolicyNames[] = {"reject the newest", "oldest first", "largest first",
                                       "byte seconds", "byte seconds^2"};

struct Crowd {
    const char *name;
    int perSecond;
    Bytes bytes;
    /// The crowd gives up and begins again.
    Milliseconds duration{60'000};
};
/// Requests that never end, and the bytes that each holds.
constexpr Crowd Crowds[] = {
    {"50 of 100 KB a second", 50, Bytes(100 * 1024)},
    {"5 of 2 MB a second", 5, Bytes(2 * 1024 * 1024)},
    {"2,000 of 16 KB a second", 2000, Bytes(16 * 1024)},
    {"100 of 2 MB a second for 0.2 s", 100, Bytes(2 * 1024 * 1024), Milliseconds(200)},
    {"2,000 of 100 KB a second for 0.2 s", 2000, Bytes(100 * 1024), Milliseconds(200)}};

struct Holder {
    Bytes held{0};
    Milliseconds since{0};
    Milliseconds until{0};
    bool isOrdinary = false;
};

struct Counts {
    int ordinary = 0;
    int rejected = 0;
};

class Simulation
{
public:
    Simulation(Policy policy, const Crowd &crowd, unsigned seed)
        : m_policy(policy)
        , m_crowd(crowd)
        , m_random(seed)
    {
    }

    Counts run()
    {
        for (; m_now < Duration; m_now += Milliseconds(1)) {
            end();
            arrive(m_crowd.perSecond, [&] {
                return Holder{m_crowd.bytes, m_now, m_now + m_crowd.duration, false};
            });
            arrive(OrdinaryPerSecond, [&] {
                const bool isLarge = m_random() % LargeFraction == 0;
                const Bytes held = isLarge ? LargeBody : Bytes(1024 + m_random() % (16 * 1024));
                ++m_counts.ordinary;
                return Holder{held, m_now, m_now + Milliseconds(1 + m_random() % MaxOrdinaryMs),
                              true};
            });
        }
        return m_counts;
    }

private:
    template <typename MakeHolder>
    void arrive(int perSecond, MakeHolder makeHolder)
    {
        std::poisson_distribution<int> count(perSecond / 1000.0);
        for (int i = count(m_random); i > 0; --i)
            add(makeHolder());
    }

    void end()
    {
        const auto isOver = [this](const Holder &holder) { return holder.until <= m_now; };
        for (const Holder &holder : m_holders) {
            if (isOver(holder))
                m_held -= holder.held;
        }
        m_holders.erase(std::remove_if(m_holders.begin(), m_holders.end(), isOver),
                        m_holders.end());
    }

    void add(const Holder &holder)
    {
        m_holders.push_back(holder);
        const Bytes others = m_held;
        m_held += holder.held;
        if (hasRoom(others, holder.held, Capacity))
            return;
        if (m_policy == Policy::RejectNewest)
            remove({m_holders.size() - 1});
        else
            free(Bytes(m_held.value() - Capacity.value() * 3 / 4));
    }

    void free(Bytes wanted)
    {
        std::vector<std::size_t> order(m_holders.size());
        std::iota(order.begin(), order.end(), std::size_t(0));
        std::vector<double> ranks;
        for (const Holder &holder : m_holders)
            ranks.push_back(rank(holder));
        std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
            return ranks[left] > ranks[right];
        });
        std::size_t count = 0;
        for (Bytes freed{0}; count < order.size() && freed < wanted; ++count)
            freed += m_holders[order[count]].held;
        order.resize(count);
        remove(order);
    }

    /// Higher ranks go first.
    double rank(const Holder &holder) const
    {
        const double seconds = std::chrono::duration<double>(m_now - holder.since).count();
        const auto bytes = double(holder.held.value());
        switch (m_policy) {
        case Policy::Oldest:
            return seconds;
        case Policy::Largest:
            return bytes;
        case Policy::ByteSeconds:
            return bytes * seconds;
        case Policy::ByteSquaredSeconds:
            return bytes * seconds * seconds;
        case Policy::RejectNewest:
            break;
        }
        return 0;
    }

    void remove(const std::vector<std::size_t> &indexes)
    {
        for (const std::size_t index : indexes) {
            m_counts.rejected += m_holders[index].isOrdinary ? 1 : 0;
            m_held -= m_holders[index].held;
            m_holders[index].held = Bytes(0);
            m_holders[index].until = m_now;
        }
    }

    const Policy m_policy;
    const Crowd m_crowd;
    std::mt19937 m_random;
    Milliseconds m_now{0};
    Bytes m_held{0};
    std::vector<Holder> m_holders;
    Counts m_counts;
};

} // namespace

int main()
{
    std::printf("ordinary requests rejected, of all; %u seeds\n", Seeds);
    for (const Crowd &crowd : Crowds) {
        std::printf("%s\n", crowd.name);
        for (std::size_t policy = 0; policy < std::size(PolicyNames); ++policy) {
            std::printf("  %-18s", PolicyNames[policy]);
            for (unsigned seed = 1; seed <= Seeds; ++seed) {
                const Counts counts = Simulation(Policy(policy), crowd, seed).run();
                std::printf(" %.3f", double(counts.rejected) / counts.ordinary);
            }
            std::printf("\n");
        }
    }
}
