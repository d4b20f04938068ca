#include "peers/framestream.h"

#include "http/client.h"
#include "runtime/usefiber.h"
#include "wire/codec.h"
#include "wire/mac.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cstring>
#include <mutex>

namespace flamingousher::peers {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::size_t LengthBytes = 4;
    constexpr std::size_t HeaderBytes = LengthBytes + wire::MacBytes;

    std::string formatRemoteEndpoint(const boost::asio::ip::tcp::socket& socket)
    {
        error_code error;
        const auto endpoint = socket.remote_endpoint(error);
        return error ? "unknown" : http::toString(endpoint);
    }

    // Returns a MAC prefix that is unique to each frame of a connection.
    std::string framePrefix(bool isFromInitiator, std::uint64_t sequence)
    {
        return (isFromInitiator ? "i" : "r") + std::to_string(sequence) + ":";
    }

} // namespace

FrameStream::FrameStream(boost::asio::ip::tcp::socket socket, const PeerIdentity& identity, PeerCounters& counters)
    : socket_(std::move(socket))
    , identity_(identity)
    , counters_(counters)
    , peer_(formatRemoteEndpoint(socket_))
    , connectionKey_(identity.key)
{
    error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

tl::expected<wire::Hello, Error> FrameStream::handshake(bool isInitiator, std::uint64_t nonce)
{
    isInitiator_ = isInitiator;
    const wire::Hello hello { identity_.self, nonce };
    if (const auto sent = send(hello); !sent)
        return tl::unexpected(sent.error());
    const auto content = receive();
    if (!content)
        return tl::unexpected(content.error());
    const auto* peerHello = std::get_if<wire::Hello>(&*content);
    if (!peerHello)
        return tl::unexpected(refuse("expected a Hello as the first frame"));
    const std::uint64_t first = isInitiator ? nonce : peerHello->nonce;
    const std::uint64_t second = isInitiator ? peerHello->nonce : nonce;
    const wire::Mac derived
        = wire::computeMac(identity_.key, "connection", std::to_string(first) + ":" + std::to_string(second));
    connectionKey_.assign(derived.begin(), derived.end());
    return *peerHello;
}

tl::expected<void, Error> FrameStream::send(const wire::Content& content)
{
    const std::string payload = wire::encode(content);
    const std::unique_lock<boost::fibers::mutex> lock(sending_);
    const wire::Mac mac = wire::computeMac(connectionKey_, framePrefix(isInitiator_, sent_++), payload);
    std::string frame(HeaderBytes, '\0');
    for (std::size_t index = 0; index < LengthBytes; ++index)
        frame[index] = static_cast<char>(payload.size() >> (8 * index));
    std::memcpy(frame.data() + LengthBytes, mac.data(), mac.size());
    frame += payload;
    error_code error;
    boost::asio::async_write(socket_, boost::asio::buffer(frame), useFiber[error]);
    if (error)
        return tl::unexpected(connectionLost(Step::Send, error));
    ++counters_.framesSent;
    counters_.bytesSent += frame.size();
    return {};
}

tl::expected<std::string, Error> FrameStream::receiveBytes()
{
    std::array<unsigned char, HeaderBytes> header {};
    error_code error;
    boost::asio::async_read(socket_, boost::asio::buffer(header), useFiber[error]);
    if (error)
        return tl::unexpected(connectionLost(Step::Receive, error));
    std::size_t length = 0;
    for (std::size_t index = 0; index < LengthBytes; ++index)
        length |= static_cast<std::size_t>(header[index]) << (8 * index);
    if (length > wire::MaxFrameBytes)
        return tl::unexpected(refuse("frame exceeds the size limit"));
    std::string payload(length, '\0');
    boost::asio::async_read(socket_, boost::asio::buffer(payload), useFiber[error]);
    if (error)
        return tl::unexpected(connectionLost(Step::Receive, error));
    wire::Mac receivedMac {};
    std::memcpy(receivedMac.data(), header.data() + LengthBytes, receivedMac.size());
    const wire::Mac expected = wire::computeMac(connectionKey_, framePrefix(!isInitiator_, received_++), payload);
    if (!wire::isEqual(receivedMac, expected))
        return tl::unexpected(refuse("frame authentication failed"));
    ++counters_.framesReceived;
    counters_.bytesReceived += header.size() + payload.size();
    return payload;
}

tl::expected<wire::Content, Error> FrameStream::receive()
{
    const auto payload = receiveBytes();
    if (!payload)
        return tl::unexpected(payload.error());
    auto content = wire::decode(peer_, *payload);
    if (!content)
        ++counters_.refused;
    return content;
}

Error FrameStream::connectionLost(Step step, const error_code& cause) const
{
    return { ErrorCode::ConnectionLost, step, peer_, cause.message(), RunState::Unknown };
}

Error FrameStream::refuse(const char* detail)
{
    ++counters_.refused;
    return { ErrorCode::ProtocolViolation, Step::Peer, peer_, detail, RunState::NotRun };
}

void FrameStream::close()
{
    error_code ignored;
    socket_.close(ignored);
}

} // namespace flamingousher::peers
