#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace flamingousher::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Endpoint = boost::asio::ip::tcp::endpoint;

struct ServerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 1024 * 1024 };
    std::chrono::milliseconds idleTimeout { 60'000 };
    std::size_t connections { 4096 }; // beyond these, the one that has waited longest for a request is closed
};

// What a connection holds of a budget of bytes that several parts of the process share. Ends with its destruction.
struct ByteCharge {
    std::function<void(std::size_t bytes)> resize; // may call evict hooks, also that of this charge
    std::function<void(bool)> setEvictable; // while a request is handled, its connection is not evicted
};

// Opens the charge of one connection. evict: makes the connection give way; called at most once.
using OpenByteCharge = std::function<ByteCharge(std::function<void()> evict)>;

// Connection details and callbacks of one request, passed to its handler.
struct Exchange {
    std::string peer; // "address:port"
    bool isFirst { true }; // first request on its connection
    std::optional<std::chrono::microseconds> roundTrip; // empty when the kernel has no estimate
    // The hooks that the server sets may be kept and called at any time. They do nothing after the exchange.
    // Set by the server; sends an interim response (102), which tells the peer that the request is being processed.
    std::function<void()> sendInterim;
    // Set by the server; returns whether the peer has already closed the connection.
    std::function<bool()> isPeerGone;
    // Set by the server; closes the connection, also while the response is being written, but not once it is written.
    std::function<void()> abort;
    // Set by the handler; called after the response has been written to the socket.
    std::function<void()> onWritten;
    // Set by the handler; called at most once when the peer closes the connection before the response.
    std::function<void()> onPeerGone;
    // Set by the handler; kept until the response has been written.
    std::shared_ptr<void> responseOwner;
};

// Produces the response to one request. Runs in a fiber of the server's thread.
using Handler = std::function<Response(const Request&, Exchange&)>;

// Counters of one server.
struct ServerCounters {
    std::uint64_t accepted { 0 };
    std::uint64_t refusedConnections { 0 };
    std::uint64_t requests { 0 };
    std::uint64_t malformedRequests { 0 };
    std::uint64_t oversizedRequests { 0 };
    std::uint64_t evictedConnections { 0 }; // closed or refused to make room for others
    std::uint64_t open { 0 };
};

// The path and the decoded parameters of a request target.
struct Target {
    std::string path;
    std::map<std::string, std::string> parameters;

    bool operator==(const Target&) const = default;

    std::string parameter(const std::string& name, const std::string& fallback = {}) const;
};

// Splits a request target and decodes its percent-encoding.
Target parseTarget(std::string_view target);

// Percent-encodes a parameter value.
std::string encodeParameter(std::string_view value);

// Returns the value of a header field, or an empty string when it is absent.
std::string readField(const boost::beast::http::fields&, std::string_view name);
bool hasField(const boost::beast::http::fields&, std::string_view name);
void setField(boost::beast::http::fields&, std::string_view name, std::string_view value);

// Adds a field beside others of the same name.
void addField(boost::beast::http::fields&, std::string_view name, std::string_view value);

Response makeResponse(const Request&, Status, const std::string& contentType, std::string body);
Response makeJsonResponse(const Request&, Status, std::string body);

} // namespace flamingousher::http
