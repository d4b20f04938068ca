#pragma once

#include "http/types.h"
#include "runtime/signal.h"
#include "transport/types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>

namespace flamingousher::transport {

// A connection to an upstream. Its own fiber runs one sub-request at a time.
struct Connection {
    explicit Connection(boost::asio::io_context& io)
        : socket(io)
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    runtime::Signal wakeUp;
    std::optional<SubRequestId> currentId;
    bool isConnected { false };
    bool isClosing { false };
    base::TimePoint lastProgress; // time of the last received bytes or of connecting

    // Closes the socket and stops the connection's fiber. A sub-request in progress fails.
    void close();
};

// Sets TCP_NODELAY, keepalive and the timeout for unacknowledged data on a connected socket.
void setUpstreamOptions(boost::asio::ip::tcp::socket&);

// Returns whether the upstream has closed an idle connection or sent unsolicited bytes on it.
bool isClosedByPeer(boost::asio::ip::tcp::socket&);

} // namespace flamingousher::transport
