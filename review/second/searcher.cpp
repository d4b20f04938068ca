#include "second/searcher.h"

#include "platform/names.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdlib>

namespace flamingousher::review {

namespace field = platform::field;
using boost::asio::ip::tcp;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::milliseconds SlotPollInterval { 1 };
    constexpr std::uint64_t MaxBodyBytes = 16ULL * 1024 * 1024;

} // namespace

Searcher::Searcher(boost::asio::io_context& io, const SearcherSpec& spec, Record& record)
    : io_(io)
    , spec_(spec)
    , record_(record)
    , acceptor_(io)
{
}

error_code Searcher::listen()
{
    if (const error_code error = runtime::listenOn(acceptor_, spec_.endpoint))
        return error;
    runtime::spawnFiber([this] {
        runtime::acceptEach(acceptor_, [this](tcp::socket socket) {
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            runtime::spawnFiber([this, shared] { serve(*shared); });
        });
    });
    return {};
}

std::string Searcher::makeStamp(const SearcherSpec& spec, const std::string& requestId)
{
    return spec.id + "." + requestId;
}

void Searcher::serve(tcp::socket& socket)
{
    boost::beast::flat_buffer buffer;
    ConnectionState state;
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    for (;;) {
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        boost::beast::http::async_read(socket, buffer, parser, useFiber[error]);
        if (error)
            break;
        const http::Request request = parser.release();
        const std::string id = http::readField(request, field::RequestId);
        if (sendBefore) {
            const std::string bytes = sendBefore(request, state);
            if (!bytes.empty())
                boost::asio::async_write(socket, boost::asio::buffer(bytes), useFiber[error]);
        }
        http::Response response = answer(request);
        std::optional<std::string> spoiled;
        if (spoil && response.result() == http::Status::ok)
            spoiled = spoil(request);
        if (spoiled)
            boost::asio::async_write(socket, boost::asio::buffer(*spoiled), useFiber[error]);
        else
            boost::beast::http::async_write(socket, response, useFiber[error]);
        if (error || !response.keep_alive())
            break;
        ++state.answered;
        state.lastId = id;
    }
    socket.close(error);
}

http::Response Searcher::makeResponse(const http::Request& request, http::Status status) const
{
    http::Response response { status, request.version() };
    response.keep_alive(request.keep_alive());
    http::setField(response, field::RequestId, http::readField(request, field::RequestId));
    return response;
}

http::Response Searcher::refuse(const http::Request& request, http::Status status) const
{
    http::Response response = makeResponse(request, status);
    http::setField(response, field::NotRun, "1");
    response.prepare_payload();
    record_.write(spec_.id + " refuses " + http::readField(request, field::RequestId) + " with "
        + std::to_string(response.result_int()));
    return response;
}

http::Response Searcher::answer(const http::Request& request)
{
    const std::string id = http::readField(request, field::RequestId);
    if (http::readField(request, field::ExpectedUpstream) != spec_.id)
        return refuse(request, http::Status::misdirected_request);
    if (id.empty())
        return refuse(request, http::Status::bad_request);
    arrived_.insert(id);
    if (running_ >= spec_.slots && queued_ >= spec_.queue)
        return refuse(request, http::Status::service_unavailable);
    const auto deadline = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::strtol(http::readField(request, field::DeadlineMs).c_str(), nullptr, 10));
    ++queued_;
    while (running_ >= spec_.slots && std::chrono::steady_clock::now() < deadline)
        runtime::sleepFor(io_, SlotPollInterval);
    --queued_;
    if (std::chrono::steady_clock::now() >= deadline)
        return refuse(request, http::Status::service_unavailable);
    ++running_;
    ++runs_[id];
    record_.write(spec_.id + " runs " + id);
    const auto endsAt = std::chrono::steady_clock::now() + spec_.work;
    runtime::sleepFor(io_, std::min(endsAt, deadline) - std::chrono::steady_clock::now());
    --running_;
    const bool isFailure = fails && fails(request);
    http::Response response = makeResponse(request,
        endsAt > deadline ? http::Status::gateway_timeout
            : isFailure   ? http::Status::internal_server_error
                          : http::Status::ok);
    http::setField(response, field::Stamp, makeStamp(spec_, id));
    response.body() = std::string(spec_.bodyBytes, 'r');
    response.prepare_payload();
    return response;
}

} // namespace flamingousher::review
