#pragma once

#include "fleet/fleetcore.h"
#include "peers/framestream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>

namespace flamingousher::peers {

// Carries the fleet's messages between control threads: probes and gossip by datagram, the others over short
// TCP connections. Every message carries an authentication code; others are refused and counted.
class FleetTransport {
public:
    using Receiver = std::function<void(const fleet::FleetMessage&)>;

    FleetTransport(boost::asio::io_context&, const PeerIdentity&, Receiver, std::function<std::uint64_t()> random);

    boost::system::error_code listen(const http::Endpoint&);

    // Messages may be lost; the fleet's rules allow for it.
    void send(const std::vector<fleet::FleetOutgoing>&);

    const PeerCounters& counters() const { return counters_; }

private:
    void receiveDatagrams();
    void receiveFrame(boost::asio::ip::tcp::socket);
    void sendDatagram(const http::Endpoint&, const fleet::FleetMessage&);
    void sendFrame(const http::Endpoint&, const fleet::FleetMessage&);

    boost::asio::io_context& io_;
    const PeerIdentity& identity_;
    Receiver receiver_;
    std::function<std::uint64_t()> random_;
    boost::asio::ip::udp::socket datagrams_;
    boost::asio::ip::tcp::acceptor acceptor_;
    PeerCounters counters_;
};

} // namespace flamingousher::peers
