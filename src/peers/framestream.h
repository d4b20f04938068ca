#pragma once

#include "base/error.h"
#include "http/types.h"
#include "wire/types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/mutex.hpp>

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace flamingousher::peers {

struct PeerIdentity {
    fleet::NodeInfo self;
    std::string key; // shared secret of the fleet
};

struct PeerCounters {
    std::uint64_t framesSent { 0 };
    std::uint64_t framesReceived { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t refused { 0 }; // unauthenticated, oversized or malformed frames, or of another version
    std::uint64_t connectionsLost { 0 };
};

// Stream of authenticated frames over a TCP connection between two processes. A frame consists of a 4-byte
// little-endian length, a message authentication code and a FlatBuffer. Used by the fibers of one thread:
// one fiber may read while others write.
class FrameStream {
public:
    FrameStream(boost::asio::ip::tcp::socket, const PeerIdentity&, PeerCounters&);

    // Exchanges Hello messages. The connection key is derived from both nonces, which prevents replays.
    tl::expected<wire::Hello, base::Error> handshake(bool isInitiator, std::uint64_t nonce);

    tl::expected<wire::Content, base::Error> receive();
    tl::expected<void, base::Error> send(const wire::Content&);

    void close();
    boost::asio::ip::tcp::socket& socket() { return socket_; }

private:
    tl::expected<std::string, base::Error> receiveBytes();
    base::Error connectionLost(base::Step, const boost::system::error_code&) const;
    base::Error refuse(const char* detail);

    boost::asio::ip::tcp::socket socket_;
    const PeerIdentity& identity_;
    PeerCounters& counters_;
    std::string peer_;
    std::string connectionKey_;
    boost::fibers::mutex sending_;
    std::uint64_t sent_ { 0 };
    std::uint64_t received_ { 0 };
    bool isInitiator_ { false };
};

} // namespace flamingousher::peers
