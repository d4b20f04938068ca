#include "http/client.h"

#include "http/parser.h"
#include "runtime/usefiber.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace flamingousher::http {

namespace beast = boost::beast;
using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::uint64_t MaxResponseBytes = 64ULL * 1024 * 1024;

} // namespace

tl::expected<Response, Error> fetch(
    boost::asio::io_context& io, const Endpoint& endpoint, const Request& request, std::chrono::milliseconds timeout)
{
    const std::string peer = toString(endpoint);
    beast::tcp_stream stream(io);
    error_code error;
    stream.expires_after(timeout);
    stream.async_connect(endpoint, useFiber[error]);
    if (error)
        return tl::unexpected(Error { ErrorCode::Unreachable, Step::Connect, peer, error.message(), RunState::NotRun });
    beast::http::async_write(stream, request, useFiber[error]);
    if (error)
        return tl::unexpected(
            Error { ErrorCode::ConnectionLost, Step::Send, peer, error.message(), RunState::Unknown });
    beast::flat_buffer buffer;
    ResponseParser parser;
    parser.body_limit(MaxResponseBytes);
    beast::http::async_read(stream, buffer, parser, useFiber[error]);
    if (error) {
        return tl::unexpected(
            Error { ErrorCode::ConnectionLost, Step::Receive, peer, error.message(), RunState::Unknown });
    }
    return parser.release();
}

Request makeRequest(beast::http::verb method, const std::string& target, std::string body)
{
    Request request { method, target, 11 };
    request.set(beast::http::field::host, "flamingousher");
    request.keep_alive(false);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

tl::expected<Endpoint, std::string> parseEndpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return tl::unexpected("'" + text + "' is not of the form address:port");
    error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(first, last, port);
    if (error || failure != std::errc() || end != last || port == 0)
        return tl::unexpected("'" + text + "' is not an IP address and a port");
    return Endpoint { address, port };
}

std::string toString(const Endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace flamingousher::http
