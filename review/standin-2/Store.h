#pragma once

#include "Net.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>

/// The platform's store: ranges, watches, transactions without preconditions, and leases. While it
/// is down it resets all connections.
class Store
{
public:
    Store()
    {
        m_listener = listenOn(m_port);
        std::thread(acceptAll, m_listener, [this](int fd) { serve(fd); }).detach();
    }
    int port() const { return m_port; }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        putLocked(key, value);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_items.count(key) == 0 || m_items[key].isRemoved)
            return;
        m_items[key] = {{}, ++m_revision, true};
        m_changed.notify_all();
    }

    void setDown(bool isDown)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isDown = isDown;
        m_changed.notify_all();
        if (!isDown)
            return;
        for (const int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
    }
    bool isDown()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_isDown;
    }

private:
    struct Item {
        std::string value;
        long revision = 0;
        bool isRemoved = false;
    };

    static std::string base64(const std::string &bytes)
    {
        static const char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t i = 0; i < bytes.size(); i += 3) {
            unsigned value = 0;
            for (size_t j = 0; j < 3; ++j)
                value = value << 8 | (i + j < bytes.size() ? uint8_t(bytes[i + j]) : 0);
            for (size_t j = 0; j < 4; ++j)
                text += i + j > bytes.size() ? '=' : digits[value >> (18 - 6 * j) & 63];
        }
        return text;
    }

    static std::string fromBase64(const std::string &text)
    {
        std::string bytes;
        unsigned value = 0;
        int bits = 0;
        for (const char c : text) {
            const int digit = c >= 'A' && c <= 'Z' ? c - 'A'
                : c >= 'a' && c <= 'z'             ? c - 'a' + 26
                : c >= '0' && c <= '9'             ? c - '0' + 52
                : c == '+'                         ? 62
                : c == '/'                         ? 63
                                                   : -1;
            if (digit < 0)
                continue;
            value = value << 6 | unsigned(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                bytes += char(value >> bits & 255);
            }
        }
        return bytes;
    }

    void putLocked(const std::string &key, const std::string &value)
    {
        m_items[key] = {value, ++m_revision, false};
        m_changed.notify_all();
    }

    static std::string text(const std::string &key, const Item &item)
    {
        const std::string start =
            "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision);
        return item.isRemoved ? start + ",\"tombstone\":true}"
                              : start + ",\"created\":" + std::to_string(item.revision)
                + ",\"lease\":0,\"value\":\"" + base64(item.value) + "\"}";
    }

    /// Changes after @p after; without those that were removed if @p isRange.
    std::string itemsLocked(const std::string &prefix, long after, bool isRange) const
    {
        std::map<long, std::string> found;
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0 && item.revision > after && !(isRange && item.isRemoved))
                found[item.revision] = text(key, item);
        }
        std::string list;
        for (const auto &[revision, item] : found)
            list += (list.empty() ? "" : ",") + item;
        return list;
    }

    std::string watch(const Request &request)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string prefix = request.query.at("prefix");
        const long after = std::atol(request.query.at("after").c_str());
        const auto until =
            Clock::now() + std::chrono::milliseconds(std::atol(request.query.at("waitMs").c_str()));
        std::string events;
        while ((events = itemsLocked(prefix, after, false)).empty() && !m_isDown) {
            if (m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        return "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
    }

    std::string handle(const Request &request)
    {
        if (request.path == "/v1/kv-watch")
            return answer(200, watch(request));
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (request.path == "/v1/kv-range")
            return answer(200,
                          "{\"items\":[" + itemsLocked(request.query.at("prefix"), 0, true)
                              + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}");
        if (request.path == "/v1/kv-lease")
            return answer(200,
                          "{\"lease\":" + std::to_string(++m_lease)
                              + ",\"ttlMs\":" + jsonField(request.body, "ttlMs") + "}");
        if (request.path == "/v1/kv-txn") {
            putLocked(jsonField(request.body, "key"), fromBase64(jsonField(request.body, "value")));
            return answer(200, "{\"revision\":" + std::to_string(m_revision) + "}");
        }
        return answer(200, "{\"ttlMs\":120000}");
    }

    void serve(int fd)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_isDown) {
                resetConnection(fd);
                return;
            }
            m_open.insert(fd);
        }
        Reader reader(fd);
        Request request;
        while (readRequest(reader, request)) {
            const std::string response = handle(request);
            if (isDown() || !sendAll(fd, response))
                break;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_open.erase(fd);
        resetConnection(fd);
    }

    int m_port = 0;
    int m_listener = -1;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::set<int> m_open;
    long m_revision = 100;
    long m_lease = 0;
    bool m_isDown = false;
};
