#include "http/internal/session.h"

#include "http/parser.h"
#include "runtime/socketoptions.h"
#include "runtime/usefiber.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <utility>

#include <sys/socket.h>

namespace flamingousher::http {

namespace beast = boost::beast;
using boost::asio::ip::tcp;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::seconds RequestReadTimeout { 10 };
    constexpr std::chrono::seconds ResponseWriteTimeout { 30 };
    constexpr std::chrono::seconds RefusalWriteTimeout { 1 };

    // Held of a connection besides its requests: the used part of a fiber's stack, the socket and the parser.
    constexpr std::size_t ConnectionBytes = 24 * 1024;

    // A request that is handled is held as received, as forwarded, and as the bytes of an attempt.
    constexpr std::size_t CopiesOfRequest = 3;

    // Read beyond the largest head: bytes of the body, or of a next request.
    constexpr std::size_t ReadAheadBytes = 4 * 1024;

    constexpr std::size_t FirstReadBytes = 2 * 1024;

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

    std::size_t headBytes(const Request& request)
    {
        std::size_t bytes = request.target().size();
        for (const auto& field : request)
            bytes += field.name_string().size() + field.value().size();
        return bytes;
    }

    bool hasEndedWithoutFault(const error_code& cause)
    {
        return cause == beast::http::error::end_of_stream || cause == boost::asio::error::eof
            || cause == boost::asio::error::connection_reset || cause == boost::asio::error::operation_aborted;
    }

    Status refusalStatus(const error_code& cause)
    {
        // The buffer overflows if the fields behind a chunked body do not fit.
        if (cause == beast::http::error::body_limit || cause == beast::http::error::header_limit
            || cause == beast::http::error::buffer_overflow)
            return Status::payload_too_large;
        return cause == beast::error::timeout ? Status::request_timeout : Status::bad_request;
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

Session::Session(std::shared_ptr<ServerState> state, tcp::socket socket)
    : state_(std::move(state))
    , stream_(std::move(socket))
    , buffer_(state_->limits.headerBytes + ReadAheadBytes)
{
    error_code error;
    stream_.socket().set_option(tcp::no_delay(true), error);
    const tcp::endpoint endpoint = stream_.socket().remote_endpoint(error);
    address_ = error ? "unknown" : endpoint.address().to_string();
    peer_ = error ? address_ : address_ + ":" + std::to_string(endpoint.port());
    ++state_->counters.open;
    ++state_->connectionsByAddress[address_];
}

Session::~Session()
{
    endWaiting();
    --state_->counters.open;
    const auto found = state_->connectionsByAddress.find(address_);
    if (--found->second == 0)
        state_->connectionsByAddress.erase(found);
}

void Session::run()
{
    bool isFirst = true;
    while (serveRequest(std::exchange(isFirst, false))) {
        // A client whose next request has arrived already must not keep the others waiting.
        if (buffer_.size() > 0)
            boost::this_fiber::yield();
    }
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

bool Session::hasUnreadData()
{
    error_code error;
    return stream_.socket().available(error) > 0;
}

void Session::evict()
{
    if (waitOrder_ == 0 || std::exchange(isEvicted_, true))
        return;
    ++state_->counters.evictedConnections;
    stream_.cancel();
}

void Session::beginWaiting(Reading reading)
{
    reading_ = reading;
    if (waitOrder_ != 0)
        return;
    waitOrder_ = ++state_->lastWait;
    state_->waiting.emplace(waitOrder_, this);
}

void Session::endWaiting()
{
    if (waitOrder_ != 0)
        state_->waiting.erase(std::exchange(waitOrder_, 0));
}

// What has waited longest gives way first, so the wait for each request is charged anew.
void Session::openCharge()
{
    if (!state_->openCharge)
        return;
    charge_ = state_->openCharge([weak = weak_from_this()] {
        if (const auto session = weak.lock())
            session->evict();
    });
    updateCharge(0);
}

void Session::updateCharge(std::size_t requestBytes)
{
    if (charge_.resize)
        charge_.resize(ConnectionBytes + buffer_.capacity() + requestBytes);
}

// Returns false if the connection ends before a request.
bool Session::readRequestStart()
{
    beginWaiting(Reading::NextRequest);
    openCharge();
    if (isEvicted_ || (state_->isClosingIdle && buffer_.size() == 0 && !hasUnreadData()))
        return false;
    if (buffer_.size() > 0)
        return true;
    error_code error;
    stream_.expires_after(state_->limits.idleTimeout);
    const std::size_t wanted = std::min(FirstReadBytes, buffer_.max_size());
    buffer_.commit(stream_.async_read_some(buffer_.prepare(wanted), useFiber[error]));
    return !error && !isEvicted_;
}

error_code Session::readInto(std::optional<Request>& request)
{
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(state_->limits.headerBytes));
    parser.body_limit(state_->limits.bodyBytes);
    parser.eager(true);
    error_code error;
    std::size_t head = 0;
    while (!parser.is_done() && !isEvicted_) {
        beast::http::async_read_some(stream_, buffer_, parser, useFiber[error]);
        if (error)
            return error;
        if (head == 0 && parser.is_header_done())
            head = headBytes(parser.get());
        updateCharge(head + parser.get().body().capacity());
    }
    if (hasUnknownTransferCoding(parser.get()))
        return beast::http::error::bad_transfer_encoding;
    if (!isEvicted_)
        request = parser.release();
    return {};
}

std::optional<Request> Session::readRequest()
{
    beginWaiting(Reading::RestOfRequest);
    stream_.expires_after(RequestReadTimeout);
    std::optional<Request> request;
    const error_code error = readInto(request);
    if (request)
        return request;
    // What has arrived is freed before the refusal is written.
    buffer_.clear();
    buffer_.shrink_to_fit();
    updateCharge(0);
    if (isEvicted_ || !hasEndedWithoutFault(error))
        refuseUnread(error);
    return std::nullopt;
}

bool Session::serveRequest(bool isFirst)
{
    if (!readRequestStart())
        return false;
    const std::optional<Request> request = readRequest();
    endWaiting();
    if (!request)
        return false;
    if (charge_.setEvictable)
        charge_.setEvictable(false);
    updateCharge(CopiesOfRequest * (headBytes(*request) + request->body().capacity()));
    ++state_->counters.requests;
    ++state_->requestsInProgress;
    const auto scope = std::make_shared<Session*>(this);
    Exchange exchange = makeExchange(isFirst, scope);
    Response response = handle(*request, exchange);
    const bool isWritten = write(response, exchange);
    --state_->requestsInProgress;
    return isWritten && response.keep_alive();
}

// The hooks may be kept beyond the exchange, when the connection serves another request or is gone.
Exchange Session::makeExchange(bool isFirst, const std::weak_ptr<Session*>& scope)
{
    Exchange exchange { peer_, isFirst, runtime::roundTripTime(stream_.socket()), {}, {}, {}, {}, {}, {} };
    exchange.sendInterim = [scope] {
        if (const auto session = scope.lock())
            sendInterimResponse((*session)->stream_.socket());
    };
    exchange.isPeerGone = [scope] {
        const auto session = scope.lock();
        return !session || hasPeerClosed((*session)->stream_.socket());
    };
    exchange.abort = [scope] {
        if (const auto session = scope.lock())
            (*session)->stream_.cancel();
    };
    return exchange;
}

Response Session::handle(const Request& request, Exchange& exchange)
{
    stream_.expires_never();
    Response response;
    {
        const DisconnectMonitor monitor(stream_.socket(), exchange);
        response = state_->handler(request, exchange);
    }
    if (state_->isStopping)
        response.keep_alive(false);
    // The length stays that of the answer to GET.
    if (request.method() == beast::http::verb::head)
        response.body().clear();
    return response;
}

bool Session::write(Response& response, const Exchange& exchange)
{
    error_code error;
    stream_.expires_after(ResponseWriteTimeout);
    beast::http::async_write(stream_, response, useFiber[error]);
    if (!error && exchange.onWritten)
        exchange.onWritten();
    return !error;
}

// Answers a request that has not been read whole, so that it has not run and never will.
void Session::refuseUnread(const error_code& cause)
{
    const Status status = isEvicted_ ? Status::service_unavailable : refusalStatus(cause);
    if (!isEvicted_)
        ++(status == Status::payload_too_large ? state_->counters.oversizedRequests
                                               : state_->counters.malformedRequests);
    const std::string detail = isEvicted_ ? "the request gives way to others" : cause.message();
    Request request;
    request.version(11);
    request.keep_alive(false);
    Response response = makeJsonResponse(request, status,
        R"({"error":"bad_request","step":"receive","run_state":"not run","detail":")" + detail + "\"}\n");
    response.keep_alive(false);
    error_code ignored;
    stream_.expires_after(RefusalWriteTimeout);
    beast::http::async_write(stream_, response, useFiber[ignored]);
}

} // namespace flamingousher::http
