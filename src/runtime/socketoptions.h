#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>

namespace flamingousher::runtime {

// Limits after which a connection that was not closed is considered lost.
struct LossDetection {
    std::chrono::milliseconds unacknowledged; // max time that sent data may stay unacknowledged
    std::chrono::seconds keepaliveIdle; // idle time before the first probe
    std::chrono::seconds keepaliveInterval;
    int keepaliveProbes; // unanswered probes after which the connection is lost

    bool operator==(const LossDetection&) const = default;
};

// Sets TCP_NODELAY, keepalive and the limits for detecting a lost peer on a connected socket.
void setConnectionOptions(boost::asio::ip::tcp::socket&, const LossDetection&);

// Returns the kernel's estimate of the round-trip time, or nothing while it has none.
std::optional<std::chrono::microseconds> roundTripTime(boost::asio::ip::tcp::socket&);

} // namespace flamingousher::runtime
