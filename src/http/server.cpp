#include "http/server.h"

#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/socketoptions.h"
#include "runtime/usefiber.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace flamingousher::http {

namespace beast = boost::beast;
using boost::asio::ip::tcp;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::seconds RequestReadTimeout { 10 };
    constexpr std::chrono::seconds ResponseWriteTimeout { 30 };

    std::string describe(const tcp::socket& socket)
    {
        error_code error;
        const tcp::endpoint endpoint = socket.remote_endpoint(error);
        return error ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    // Returns whether the peer has closed its sending side. False while pipelined data is still unread.
    bool hasPeerClosed(tcp::socket& socket)
    {
        char byte = 0;
        return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    // Does not wait: the send buffer is empty before the response, and a lost interim response does no harm.
    void sendInterimResponse(tcp::socket& socket)
    {
        constexpr std::string_view Bytes = "HTTP/1.1 102 Processing\r\n\r\n";
        ::send(socket.native_handle(), Bytes.data(), Bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }

    // Calls onPeerGone when the peer closes the connection while a handler runs.
    class DisconnectMonitor {
    public:
        DisconnectMonitor(tcp::socket& socket, Exchange& exchange)
            : target_(std::make_shared<Target>(Target { &socket, &exchange }))
        {
            socket.async_wait(tcp::socket::wait_read, [target = target_](const error_code& error) {
                if (error || !target->exchange || !hasPeerClosed(*target->socket) || !target->exchange->onPeerGone)
                    return;
                std::exchange(target->exchange->onPeerGone, nullptr)();
            });
        }

        ~DisconnectMonitor()
        {
            target_->exchange = nullptr;
            error_code ignored;
            target_->socket->cancel(ignored);
        }

        DisconnectMonitor(const DisconnectMonitor&) = delete;
        DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

    private:
        struct Target {
            tcp::socket* socket;
            Exchange* exchange;
        };

        std::shared_ptr<Target> target_;
    };

} // namespace

Server::Server(boost::asio::io_context& io, ServerLimits limits, Handler handler)
    : io_(io)
    , state_(std::make_shared<State>())
{
    state_->limits = limits;
    state_->handler = std::move(handler);
}

Server::~Server()
{
    beginShutdown();
}

error_code Server::listen(const Endpoint& endpoint, bool isShared)
{
    auto acceptor = std::make_shared<tcp::acceptor>(io_);
    if (const error_code error = runtime::listenOn(*acceptor, endpoint, isShared))
        return error;
    acceptor_ = acceptor;
    runtime::spawnFiber([state = state_, acceptor] {
        runtime::acceptEach(*acceptor, [&](tcp::socket socket) { accept(state, std::move(socket)); });
    });
    return {};
}

Endpoint Server::localEndpoint() const
{
    return acceptor_->local_endpoint();
}

void Server::accept(const std::shared_ptr<State>& state, tcp::socket socket)
{
    if (state->isStopping)
        return;
    if (state->counters.open >= state->limits.connections) {
        ++state->counters.refusedConnections;
        return;
    }
    ++state->counters.accepted;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto stream = std::make_shared<Stream>(std::move(socket));
    runtime::spawnFiber([state, stream] { runSession(state, std::move(*stream)); });
}

void Server::runSession(const std::shared_ptr<State>& state, Stream stream)
{
    ++state->counters.open;
    beast::flat_buffer buffer;
    bool isFirst = true;
    while (!state->isStopping && serveRequest(*state, stream, buffer, std::exchange(isFirst, false))) { }
    --state->counters.open;
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

bool Server::serveRequest(State& state, Stream& stream, beast::flat_buffer& buffer, bool isFirst)
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(state.limits.headerBytes));
    parser.body_limit(state.limits.bodyBytes);
    error_code error;
    if (buffer.size() == 0) {
        // An idle connection may be closed immediately on shutdown.
        state.idleStreams.insert(&stream);
        stream.expires_after(state.limits.idleTimeout);
        buffer.commit(stream.async_read_some(buffer.prepare(2048), useFiber[error]));
        state.idleStreams.erase(&stream);
        if (error)
            return false;
    }
    stream.expires_after(RequestReadTimeout);
    beast::http::async_read(stream, buffer, parser, useFiber[error]);
    if (error) {
        rejectMalformed(state, stream, error);
        return false;
    }
    ++state.counters.requests;
    ++state.requestsInProgress;
    const Request request = parser.release();
    Exchange exchange { describe(stream.socket()), isFirst, runtime::roundTripTime(stream.socket()),
        [&] { sendInterimResponse(stream.socket()); }, [&] { return hasPeerClosed(stream.socket()); }, {}, {} };
    stream.expires_never();
    Response response;
    {
        const DisconnectMonitor monitor(stream.socket(), exchange);
        response = state.handler(request, exchange);
    }
    if (state.isStopping)
        response.keep_alive(false);
    stream.expires_after(ResponseWriteTimeout);
    beast::http::async_write(stream, response, useFiber[error]);
    if (!error && exchange.onWritten)
        exchange.onWritten();
    --state.requestsInProgress;
    return !error && response.keep_alive();
}

void Server::rejectMalformed(State& state, Stream& stream, const error_code& cause)
{
    if (cause == beast::http::error::end_of_stream || cause == boost::asio::error::eof
        || cause == boost::asio::error::connection_reset || cause == boost::asio::error::operation_aborted)
        return;
    const bool isOversized = cause == beast::http::error::header_limit || cause == beast::http::error::body_limit;
    ++(isOversized ? state.counters.oversizedRequests : state.counters.malformedRequests);
    Request request;
    request.version(11);
    request.keep_alive(false);
    const Status status = isOversized ? Status::payload_too_large : Status::bad_request;
    Response response = makeJsonResponse(request, status,
        R"({"error":"bad_request","step":"receive","run_state":"not run","detail":")" + cause.message() + "\"}\n");
    response.keep_alive(false);
    error_code ignored;
    stream.expires_after(RequestReadTimeout);
    beast::http::async_write(stream, response, useFiber[ignored]);
}

void Server::beginShutdown()
{
    if (state_->isStopping)
        return;
    state_->isStopping = true;
    error_code ignored;
    if (acceptor_)
        acceptor_->close(ignored);
    for (Stream* stream : state_->idleStreams)
        stream->cancel();
}

} // namespace flamingousher::http
