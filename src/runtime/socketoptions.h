#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>

namespace flamingousher::runtime {

// After how long a connection counts as lost that nobody has closed.
struct LossDetection {
    std::chrono::milliseconds unacknowledged; // sent data without an acknowledgement
    std::chrono::seconds keepaliveIdle; // silence before the first probe
    std::chrono::seconds keepaliveInterval;
    int keepaliveProbes; // without an answer

    bool operator==(const LossDetection&) const = default;
};

// Prepares a connected socket: no delay, keepalive, and an error when the other side is lost.
void setConnectionOptions(boost::asio::ip::tcp::socket&, const LossDetection&);

// The kernel's estimate of the time to the other side and back. None while it knows nothing.
std::optional<std::chrono::microseconds> roundTripTime(boost::asio::ip::tcp::socket&);

} // namespace flamingousher::runtime
