#include "peer/WebSocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/random/random_device.hpp>
#include <websocketpp/server.hpp>

namespace cranberry {

namespace {

/// Configuration of websocketpp: single-threaded, small buffers, random masks, no logging.
struct SessionConfiguration : public websocketpp::config::core {
    using type = SessionConfiguration;
    using concurrency_type = websocketpp::concurrency::none;
    using request_type = websocketpp::config::core::request_type;
    using response_type = websocketpp::config::core::response_type;
    using message_type = websocketpp::config::core::message_type;
    using con_msg_manager_type = websocketpp::config::core::con_msg_manager_type;
    using endpoint_msg_manager_type = websocketpp::config::core::endpoint_msg_manager_type;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using rng_type = websocketpp::random::random_device::int_generator<uint32_t, concurrency_type>;

    // The name is required by websocketpp.
    // NOLINTNEXTLINE(readability-identifier-naming)
    struct transport_config {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        static const bool enable_multithreading = false;
        static const long timeout_socket_pre_init = 5000;
        static const long timeout_proxy = 5000;
        static const long timeout_socket_post_init = 5000;
        static const long timeout_dns_resolve = 5000;
        static const long timeout_connect = 5000;
        static const long timeout_socket_shutdown = 5000;
    };
    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

    static const bool enable_multithreading = false;
    static const size_t connection_read_buffer_size = 2048;
    static const size_t max_http_body_size = 0;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
};

using Server = websocketpp::server<SessionConfiguration>;
using Client = websocketpp::client<SessionConfiguration>;
using Connection = websocketpp::connection<SessionConfiguration>;

/// Sets the Host header, which is not checked; peers are identified by their proof.
constexpr const char *LinkUri = "ws://peer/";

Server &serverEndpoint()
{
    static thread_local Server server;
    return server;
}

Client &clientEndpoint()
{
    static thread_local Client client;
    return client;
}

} // namespace

class WebSocketSession::Implementation
{
public:
    Implementation(WebSocketRole role, Bytes maxMessageSize, WebSocketCallbacks sessionCallbacks)
        : isDialler(role == WebSocketRole::Dialler)
        , callbacks(std::move(sessionCallbacks))
    {
        std::error_code error;
        connection = isDialler ? clientEndpoint().get_connection(LinkUri, error)
                               : serverEndpoint().get_connection();
        connection->set_max_message_size(size_t(maxMessageSize.value()));
        connection->set_write_handler(
            [this](const auto &, const char *data, size_t size) { return write(data, size); });
        connection->set_vector_write_handler(
            [this](const auto &, const std::vector<websocketpp::transport::buffer> &buffers) {
                QByteArray joined;
                for (const websocketpp::transport::buffer &buffer : buffers)
                    joined.append(buffer.buf, qsizetype(buffer.len));
                return write(joined.constData(), size_t(joined.size()));
            });
        connection->set_open_handler([this](const auto &) { callbacks.opened(); });
        connection->set_message_handler([this](const auto &, const auto &message) {
            if (message->get_opcode() != websocketpp::frame::opcode::binary)
                return end(QStringLiteral("received a non-binary frame"));
            callbacks.received(QByteArray::fromStdString(message->get_payload()));
        });
        connection->set_fail_handler(
            [this](const auto &) { end(QString::fromStdString(connection->get_ec().message())); });
        connection->set_close_handler([this](const auto &) { end(closeError()); });
    }

    ~Implementation()
    {
        connection->set_write_handler({});
        connection->set_vector_write_handler({});
        connection->set_open_handler({});
        connection->set_message_handler({});
        connection->set_fail_handler({});
        connection->set_close_handler({});
        // A pending read of the library keeps the connection alive; fatal_error() releases both.
        connection->fatal_error();
    }

    std::error_code write(const char *data, size_t size)
    {
        callbacks.output(QByteArray(data, qsizetype(size)));
        return {};
    }

    void end(const QString &fault)
    {
        if (ended)
            return;
        ended = true;
        callbacks.ended(fault);
    }

    QString closeError() const
    {
        namespace status = websocketpp::close::status;
        const auto code = connection->get_local_close_code();
        const bool isNormalClosure = code == status::normal || code == status::going_away
            || code == status::no_status || code == status::abnormal_close;
        return isNormalClosure ? QString() : QString::fromStdString(status::get_string(code));
    }

    const bool isDialler;
    bool ended = false;
    WebSocketCallbacks callbacks;
    Connection::ptr connection;
};

WebSocketSession::WebSocketSession(WebSocketRole role, Bytes maxMessageSize,
                                   WebSocketCallbacks callbacks)
    : m_implementation(std::make_unique<Implementation>(role, maxMessageSize, std::move(callbacks)))
{
}

WebSocketSession::~WebSocketSession() = default;

void WebSocketSession::start()
{
    if (m_implementation->isDialler)
        clientEndpoint().connect(m_implementation->connection);
    else
        m_implementation->connection->start();
}

void WebSocketSession::receive(const QByteArray &bytes)
{
    const size_t size = size_t(bytes.size());
    const size_t consumed = m_implementation->connection->read_all(bytes.constData(), size);
    if (consumed < size)
        m_implementation->end(QStringLiteral("received bytes after the session ended"));
}

bool WebSocketSession::send(const QByteArray &message)
{
    const std::error_code error = m_implementation->connection->send(
        message.constData(), size_t(message.size()), websocketpp::frame::opcode::binary);
    return !error;
}

void WebSocketSession::close()
{
    std::error_code error;
    m_implementation->connection->close(websocketpp::close::status::normal, {}, error);
}

void WebSocketSession::setMaxMessageSize(Bytes size)
{
    m_implementation->connection->set_max_message_size(size_t(size.value()));
}

} // namespace cranberry
