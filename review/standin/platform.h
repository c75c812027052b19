// The platform's store and the processes of the system, for the stand-ins of the review.
#pragma once

#include "net.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace review {

/// Writes the record of a run; thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }
    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%10.1f ", nowMs());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string base64(const std::string &data)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        unsigned value = unsigned(std::uint8_t(data[i])) << 16;
        if (i + 1 < data.size())
            value |= unsigned(std::uint8_t(data[i + 1])) << 8;
        if (i + 2 < data.size())
            value |= unsigned(std::uint8_t(data[i + 2]));
        out += digits[value >> 18 & 63];
        out += digits[value >> 12 & 63];
        out += i + 1 < data.size() ? digits[value >> 6 & 63] : '=';
        out += i + 2 < data.size() ? digits[value & 63] : '=';
    }
    return out;
}

inline std::string unescaped(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += char(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    auto from = target.find('?');
    while (from != std::string::npos) {
        const auto to = target.find('&', from + 1);
        const std::string pair = target.substr(from + 1, to - from - 1);
        if (pair.rfind(name + '=', 0) == 0)
            return unescaped(pair.substr(name.size() + 1));
        from = to;
    }
    return {};
}

/// The platform's key-value store, as PROTOCOL.md describes it. Leases do not expire in a run.
class Store
{
public:
    void start()
    {
        m_listener.start([this](Connection &connection) { serve(connection); });
    }
    int port() const { return m_listener.port; }

    void put(const std::string &key, const std::string &value) { putEncoded(key, base64(value)); }

    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = {{}, ++m_revision, true};
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string encoded;
        long revision = 0;
        bool isRemoved = false;
    };

    void putEncoded(const std::string &key, const std::string &encoded)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items[key] = {encoded, ++m_revision, false};
        m_changed.notify_all();
    }

    /// Precondition: the mutex is held.
    std::string items(const std::string &prefix, long after, bool withRemoved) const
    {
        std::string out;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) != 0 || item.revision <= after
                || (item.isRemoved && !withRemoved))
                continue;
            out += out.empty() ? "{" : ",{";
            out += "\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
            out += item.isRemoved
                ? ",\"tombstone\":true}"
                : ",\"created\":1,\"lease\":0,\"value\":\"" + item.encoded + "\"}";
        }
        return out;
    }

    std::string watch(const std::string &target)
    {
        const std::string prefix = queryValue(target, "prefix");
        const long after = std::atol(queryValue(target, "after").c_str());
        std::unique_lock<std::mutex> lock(m_mutex);
        std::string events;
        m_changed.wait_for(
            lock, std::chrono::milliseconds(std::atol(queryValue(target, "waitMs").c_str())),
            [&] { return !(events = items(prefix, after, true)).empty(); });
        return "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
    }

    std::string answer(const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/v1/kv-watch")
            return watch(target);
        if (path == "/v1/kv-txn") {
            putEncoded(jsonMember(request.body, "key"), jsonMember(request.body, "value"));
            return "{\"revision\":" + std::to_string(m_revision) + "}";
        }
        if (path == "/v1/kv-range") {
            const std::lock_guard<std::mutex> lock(m_mutex);
            return "{\"items\":[" + items(queryValue(target, "prefix"), 0, false)
                + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}";
        }
        if (path == "/v1/kv-lease")
            return "{\"lease\":" + std::to_string(++m_lease) + ",\"ttlMs\":120000}";
        return "{\"ttlMs\":120000}";
    }

    void serve(Connection &connection)
    {
        for (;;) {
            Message request;
            if (!connection.readHead(request, nowMs() + 120000))
                return;
            const auto length = std::size_t(std::atol(request.header("content-length").c_str()));
            if (!connection.readBytes(length, request.body, nowMs() + 10000))
                return;
            const std::string body = answer(request);
            sleepMs(4);
            if (!connection.write(response(200, body, "Content-Type: application/json\r\n")))
                return;
        }
    }

    Listener m_listener;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::atomic<long> m_revision{100};
    std::atomic<long> m_lease{7000};
};

/// A process of the system, started with the command and the template of the deploy file.
class Daemon
{
public:
    /// The settings are those that the template of the deploy file gives for a small site.
    Daemon(const std::string &program, const std::string &folder, const std::string &vm,
           const std::string &zone, int storePort)
        : m_program(program)
        , m_base(folder + '/' + vm)
        , callers(freePort())
        , m_readiness(freePort())
    {
        const int peer = freePort();
        std::ostringstream json;
        const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + '"'; };
        json << "{\"vm\": \"" << vm << "\", \"data_centre\": \"" << zone
             << "\", \"callers\": " << address(callers)
             << ", \"readiness\": " << address(m_readiness) << ", \"peer\": " << address(peer)
             << ", \"store\": " << address(storePort)
             << ", \"retries\": {\"ratio\": 0.2, \"slack\": 52, \"window_ms\": 10000}"
             << ", \"configuration_apply_ms\": 2000, \"target_drain_ms\": 2000"
             << ", \"target_heartbeat_ms\": 1200"
             << ", \"admission\": {\"order\": false, \"observed_speed\": false}"
             << ", \"first_start\": true, \"grace_ms\": 8000}";
        m_settings = json.str();
        std::ofstream(m_base + ".json") << m_settings;
        start();
    }
    ~Daemon() { end(SIGKILL); }

    void start()
    {
        // Only async-signal-safe calls are allowed after the fork, as other threads run.
        const std::string boot = "CRANBERRYQUAY_BOOT=" + m_base + ".json";
        const std::string path = "PATH=" + std::string(std::getenv("PATH"));
        char *const arguments[] = {const_cast<char *>(m_program.c_str()), nullptr};
        char *const environment[] = {const_cast<char *>(boot.c_str()),
                                     const_cast<char *>(path.c_str()), nullptr};
        const int log =
            ::open((m_base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execve(m_program.c_str(), arguments, environment);
            ::_exit(127);
        }
        ::close(log);
    }

    /// Starts the process again, as the platform does after its end.
    void startAgain()
    {
        const std::string first = "\"first_start\": true";
        const auto at = m_settings.find(first);
        if (at != std::string::npos)
            m_settings.replace(at, first.size(), "\"first_start\": false");
        std::ofstream(m_base + ".json") << m_settings;
        start();
    }

    /// Resident memory in bytes; 0 if it does not run.
    long memory() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return resident * ::sysconf(_SC_PAGESIZE);
    }

    void end(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    bool isReady() const
    {
        const int descriptor = connectTo(m_readiness);
        if (descriptor < 0)
            return false;
        Connection connection(descriptor);
        connection.write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        Message answer;
        return connection.readHead(answer, nowMs() + 1000) && answer.status() == 200;
    }

    bool waitReady(double ms) const
    {
        const double until = nowMs() + ms;
        while (nowMs() < until) {
            if (isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }

    pid_t pid() const { return m_pid; }

private:
    std::string m_program;
    std::string m_base;
    std::string m_settings;

public:
    const int callers;

private:
    const int m_readiness;
    pid_t m_pid = -1;
};

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace review
