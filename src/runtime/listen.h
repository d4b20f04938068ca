#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace flamingousher::runtime {

// Opens and binds the acceptor and starts listening. When shared, several acceptors, one per thread, may listen on the
// same endpoint.
boost::system::error_code listenOn(
    boost::asio::ip::tcp::acceptor&, const boost::asio::ip::tcp::endpoint&, bool isShared = false);

// Accepts connections and passes each to the callback, in the calling fiber, until the acceptor is closed.
void acceptEach(boost::asio::ip::tcp::acceptor&, const std::function<void(boost::asio::ip::tcp::socket)>& onAccepted);

} // namespace flamingousher::runtime
