#include "http/server.h"

#include "base/types.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"
#include "runtime/socketoptions.h"
#include "runtime/usefiber.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cerrno>
#include <iterator>

#include <sys/socket.h>

namespace flamingousher::http {

namespace beast = boost::beast;
using boost::asio::ip::tcp;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::seconds RequestReadTimeout { 10 };
    constexpr std::chrono::seconds ResponseWriteTimeout { 30 };

    // On shutdown, requests that arrive within this time are still answered: their callers could not know of it.
    constexpr base::Duration IdleCloseDelay = std::chrono::milliseconds(200);

    // On shutdown, a request of which a part has arrived is dropped after this time.
    constexpr base::Duration PartialRequestCloseDelay = std::chrono::seconds(1);

    std::string describe(const tcp::socket& socket)
    {
        error_code error;
        const tcp::endpoint endpoint = socket.remote_endpoint(error);
        return error ? "unknown" : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }

    // Returns whether the peer has closed its sending side or reset the connection. False while pipelined data is still
    // unread.
    bool hasPeerClosed(tcp::socket& socket)
    {
        char byte = 0;
        const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    // The server decodes no transfer coding but "chunked", and the end of a body in another one is unknown.
    bool hasUnknownTransferCoding(const Request& request)
    {
        const auto codings = request.equal_range(beast::http::field::transfer_encoding);
        const auto count = std::distance(codings.first, codings.second);
        return count > 1 || (count == 1 && !beast::iequals(codings.first->value(), "chunked"));
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
    state_->isClosingIdle = true;
    closeReading(*state_, Reading::NextRequest);
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
    ++state->counters.open;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto stream = std::make_shared<Stream>(std::move(socket));
    runtime::spawnFiber([state, stream] { runSession(state, std::move(*stream)); });
}

void Server::runSession(const std::shared_ptr<State>& state, Stream stream)
{
    beast::flat_buffer buffer;
    bool isFirst = true;
    while (serveRequest(*state, stream, buffer, std::exchange(isFirst, false))) { }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    --state->counters.open;
}

// Returns false if the connection ends before a request.
bool Server::readRequestStart(State& state, Stream& stream, beast::flat_buffer& buffer)
{
    error_code error;
    if (buffer.size() > 0)
        return true;
    if (state.isClosingIdle && stream.socket().available(error) == 0)
        return false;
    state.readingStreams[&stream] = Reading::NextRequest;
    stream.expires_after(state.limits.idleTimeout);
    buffer.commit(stream.async_read_some(buffer.prepare(2048), useFiber[error]));
    state.readingStreams.erase(&stream);
    return !error;
}

bool Server::serveRequest(State& state, Stream& stream, beast::flat_buffer& buffer, bool isFirst)
{
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(state.limits.headerBytes));
    parser.body_limit(state.limits.bodyBytes);
    if (!readRequestStart(state, stream, buffer))
        return false;
    error_code error;
    state.readingStreams[&stream] = Reading::RestOfRequest;
    stream.expires_after(RequestReadTimeout);
    beast::http::async_read(stream, buffer, parser, useFiber[error]);
    state.readingStreams.erase(&stream);
    if (!error && hasUnknownTransferCoding(parser.get()))
        error = beast::http::error::bad_transfer_encoding;
    if (error) {
        rejectMalformed(state, stream, error);
        return false;
    }
    ++state.counters.requests;
    ++state.requestsInProgress;
    const Request request = parser.release();
    Exchange exchange { describe(stream.socket()), isFirst, runtime::roundTripTime(stream.socket()),
        [&] { sendInterimResponse(stream.socket()); }, [&] { return hasPeerClosed(stream.socket()); },
        [&] { stream.cancel(); }, {}, {}, {} };
    stream.expires_never();
    Response response;
    {
        const DisconnectMonitor monitor(stream.socket(), exchange);
        response = state.handler(request, exchange);
    }
    if (state.isStopping)
        response.keep_alive(false);
    // The length stays that of the answer to GET.
    if (request.method() == beast::http::verb::head)
        response.body().clear();
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
    acceptQueued();
    state_->isStopping = true;
    error_code ignored;
    if (acceptor_)
        acceptor_->close(ignored);
    runtime::spawnFiber([state = state_, &io = io_] {
        runtime::sleepFor(io, IdleCloseDelay);
        state->isClosingIdle = true;
        closeReading(*state, Reading::NextRequest);
        runtime::sleepFor(io, PartialRequestCloseDelay - IdleCloseDelay);
        closeReading(*state, Reading::RestOfRequest);
    });
}

// Accepts the connections that are open for their peers already: closing the listener would reset them.
void Server::acceptQueued()
{
    error_code error;
    if (!acceptor_ || acceptor_->non_blocking(true, error))
        return;
    for (;;) {
        tcp::socket socket(io_);
        if (acceptor_->accept(socket, error))
            return;
        accept(state_, std::move(socket));
    }
}

// What has arrived on a connection that waits for a request is still read.
void Server::closeReading(const State& state, Reading reading)
{
    for (const auto& [stream, streamReading] : state.readingStreams) {
        error_code ignored;
        const bool hasArrived = reading == Reading::NextRequest && stream->socket().available(ignored) > 0;
        if (streamReading == reading && !hasArrived)
            stream->cancel();
    }
}

} // namespace flamingousher::http
