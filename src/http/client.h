#pragma once

#include "base/error.h"
#include "http/types.h"

#include <boost/asio/io_context.hpp>

#include <tl/expected.hpp>

namespace flamingousher::http {

// Sends one request over a new connection and waits for the response, in the calling fiber.
// Errors name the step (connect, send or receive) and the peer.
tl::expected<Response, base::Error> fetch(
    boost::asio::io_context&, const Endpoint&, const Request&, std::chrono::milliseconds timeout);

Request makeRequest(boost::beast::http::verb, const std::string& target, std::string body = {});

// Parses "address:port" with an IP address.
tl::expected<Endpoint, std::string> parseEndpoint(const std::string& text);

std::string toString(const Endpoint&);

} // namespace flamingousher::http
