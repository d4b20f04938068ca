#include "peers/askissuer.h"

#include "http/client.h"
#include "runtime/usefiber.h"

#include <boost/asio/steady_timer.hpp>

namespace flamingousher::peers {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    Error cannotVouch(const http::Endpoint& endpoint, const std::string& detail)
    {
        return { ErrorCode::IdentityUnverifiable, Step::Identity, http::toString(endpoint), detail, RunState::Unknown };
    }

} // namespace

tl::expected<transport::ServiceAnswer, Error> askIssuer(boost::asio::io_context& io, const http::Endpoint& endpoint,
    std::uint64_t boot, const PeerIdentity& identity, PeerCounters& counters, std::uint64_t nonce,
    const wire::IdentityRequest& request)
{
    auto socket = std::make_shared<tcp::socket>(io);
    boost::asio::steady_timer timer(io, request.remaining);
    timer.async_wait([socket](const error_code& error) {
        if (!error)
            socket->close();
    });
    error_code error;
    socket->async_connect(endpoint, runtime::useFiber[error]);
    timer.cancel();
    if (error || !socket->is_open())
        return tl::unexpected(cannotVouch(endpoint, "the issuer cannot be reached"));
    const auto stream = std::make_shared<FrameStream>(std::move(*socket), identity, counters);
    timer.expires_after(request.remaining);
    timer.async_wait([stream](const error_code& failure) {
        if (!failure)
            stream->close();
    });
    const auto hello = stream->handshake(true, nonce);
    if (!hello)
        return tl::unexpected(cannotVouch(endpoint, "the issuer cannot be reached"));
    if (hello->from.id.boot != boot)
        return tl::unexpected(cannotVouch(endpoint, "the issuer has been restarted"));
    if (!stream->send(request))
        return tl::unexpected(cannotVouch(endpoint, "the connection to the issuer was lost"));
    for (;;) {
        const auto content = stream->receive();
        if (!content)
            return tl::unexpected(cannotVouch(endpoint, "the connection to the issuer was lost"));
        if (const auto* result = std::get_if<wire::IdentityResult>(&*content)) {
            timer.cancel();
            stream->close();
            return result->answer;
        }
    }
}

} // namespace flamingousher::peers
