#include "peers/fleettransport.h"

#include "http/client.h"
#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/timeout.h"
#include "runtime/usefiber.h"
#include "wire/codec.h"
#include "wire/mac.h"

#include <cstring>

namespace flamingousher::peers {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::milliseconds FrameTimeout { 2'000 };
    constexpr std::size_t DatagramBufferBytes = 64 * 1024;
    const std::string DatagramPrefix = "datagram:";

    bool isDatagram(const fleet::FleetMessage& message)
    {
        return std::holds_alternative<fleet::Ping>(message) || std::holds_alternative<fleet::Ack>(message)
            || std::holds_alternative<fleet::PingRequest>(message);
    }

} // namespace

FleetTransport::FleetTransport(
    boost::asio::io_context& io, const PeerIdentity& identity, Receiver receiver, std::function<std::uint64_t()> random)
    : io_(io)
    , identity_(identity)
    , receiver_(std::move(receiver))
    , random_(std::move(random))
    , datagrams_(io)
    , acceptor_(io)
{
}

error_code FleetTransport::listen(const http::Endpoint& endpoint)
{
    error_code error;
    const udp::endpoint datagramEndpoint(endpoint.address(), endpoint.port());
    datagrams_.open(datagramEndpoint.protocol(), error);
    if (!error)
        datagrams_.bind(datagramEndpoint, error);
    if (!error)
        error = runtime::listenOn(acceptor_, endpoint);
    if (error)
        return error;
    runtime::spawnFiber([this] { receiveDatagrams(); });
    runtime::spawnFiber([this] {
        runtime::acceptEach(acceptor_, [this](tcp::socket accepted) {
            auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            runtime::spawnFiber([this, socket] { receiveFrame(std::move(*socket)); });
        });
    });
    return {};
}

void FleetTransport::receiveDatagrams()
{
    std::string buffer(DatagramBufferBytes, '\0');
    for (;;) {
        udp::endpoint sender;
        error_code error;
        const std::size_t size = datagrams_.async_receive_from(boost::asio::buffer(buffer), sender, useFiber[error]);
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error || size < wire::MacBytes)
            continue;
        const std::string payload = buffer.substr(wire::MacBytes, size - wire::MacBytes);
        wire::Mac receivedMac {};
        std::memcpy(receivedMac.data(), buffer.data(), receivedMac.size());
        const bool isAuthentic = wire::isEqual(receivedMac, wire::computeMac(identity_.key, DatagramPrefix, payload));
        const auto content = isAuthentic ? wire::decode(sender.address().to_string(), payload)
                                         : tl::expected<wire::Content, base::Error>(tl::unexpected(base::Error {}));
        const auto* message = content ? std::get_if<fleet::FleetMessage>(&*content) : nullptr;
        if (!message) {
            ++counters_.refused;
            continue;
        }
        ++counters_.framesReceived;
        counters_.bytesReceived += size;
        receiver_(*message);
    }
}

void FleetTransport::receiveFrame(tcp::socket socket)
{
    const auto stream = std::make_shared<FrameStream>(std::move(socket), identity_, counters_);
    const runtime::Timeout timeout(io_, FrameTimeout, [&] { stream->close(); });
    if (stream->handshake(false, random_())) {
        const auto content = stream->receive();
        const auto* message = content ? std::get_if<fleet::FleetMessage>(&*content) : nullptr;
        if (message)
            receiver_(*message);
    }
    stream->close();
}

void FleetTransport::send(const std::vector<fleet::FleetOutgoing>& outgoing)
{
    for (const fleet::FleetOutgoing& message : outgoing) {
        const auto endpoint = http::parseEndpoint(message.endpoint);
        if (!endpoint)
            continue;
        if (isDatagram(message.message))
            sendDatagram(*endpoint, message.message);
        else
            sendFrame(*endpoint, message.message);
    }
}

void FleetTransport::sendDatagram(const http::Endpoint& endpoint, const fleet::FleetMessage& message)
{
    const std::string payload = wire::encode(message);
    if (payload.size() > wire::MaxDatagramBytes)
        return;
    const wire::Mac mac = wire::computeMac(identity_.key, DatagramPrefix, payload);
    std::string datagram(reinterpret_cast<const char*>(mac.data()), mac.size());
    datagram += payload;
    error_code ignored;
    datagrams_.send_to(boost::asio::buffer(datagram), udp::endpoint(endpoint.address(), endpoint.port()), 0, ignored);
    ++counters_.framesSent;
    counters_.bytesSent += datagram.size();
}

void FleetTransport::sendFrame(const http::Endpoint& endpoint, const fleet::FleetMessage& message)
{
    runtime::spawnFiber([this, endpoint, message] {
        auto socket = runtime::connectWithin(io_, endpoint, FrameTimeout);
        if (!socket)
            return;
        const auto stream = std::make_shared<FrameStream>(*std::move(socket), identity_, counters_);
        const runtime::Timeout timeout(io_, FrameTimeout, [&] { stream->close(); });
        if (stream->handshake(true, random_()) && stream->send(message)) {
            // Waits until the receiver has read the frame and closed the connection.
            static_cast<void>(stream->receive());
        }
        stream->close();
    });
}

} // namespace flamingousher::peers
