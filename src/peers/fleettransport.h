#pragma once

#include "fleet/fleetcore.h"
#include "peers/framestream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>

namespace flamingousher::peers {

// Sends and receives fleet messages between control threads: probes and gossip as datagrams, all others over
// short-lived TCP connections. Messages without a valid authentication code are refused and counted.
class FleetTransport {
public:
    using Receiver = std::function<void(const fleet::FleetMessage&)>;

    FleetTransport(boost::asio::io_context&, const PeerIdentity&, Receiver, std::function<std::uint64_t()> random);

    boost::system::error_code listen(const http::Endpoint&);

    // Delivery is not guaranteed; the fleet protocol tolerates lost messages.
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
