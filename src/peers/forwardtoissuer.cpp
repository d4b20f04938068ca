#include "peers/forwardtoissuer.h"

#include "http/client.h"
#include "runtime/connect.h"
#include "runtime/timeout.h"

namespace flamingousher::peers {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    Error unverifiable(const http::Endpoint& endpoint, const std::string& detail)
    {
        return { ErrorCode::IdentityUnverifiable, Step::Identity, http::toString(endpoint), detail, RunState::Unknown };
    }

} // namespace

tl::expected<transport::ServiceAnswer, Error> forwardToIssuer(boost::asio::io_context& io,
    const http::Endpoint& endpoint, std::uint64_t boot, const PeerIdentity& identity, PeerCounters& counters,
    std::uint64_t nonce, const wire::IdentityRequest& request)
{
    auto socket = runtime::connectWithin(io, endpoint, request.remaining);
    if (!socket)
        return tl::unexpected(unverifiable(endpoint, "identity issuer is unreachable"));
    const auto stream = std::make_shared<FrameStream>(*std::move(socket), identity, counters);
    const runtime::Timeout timeout(io, request.remaining, [&] { stream->close(); });
    const auto hello = stream->handshake(true, nonce);
    if (!hello)
        return tl::unexpected(unverifiable(endpoint, "identity issuer is unreachable"));
    if (hello->from.id.boot != boot)
        return tl::unexpected(unverifiable(endpoint, "identity issuer has restarted"));
    if (!stream->send(request))
        return tl::unexpected(unverifiable(endpoint, "connection to the identity issuer was lost"));
    for (;;) {
        const auto content = stream->receive();
        if (!content)
            return tl::unexpected(unverifiable(endpoint, "connection to the identity issuer was lost"));
        if (const auto* result = std::get_if<wire::IdentityResult>(&*content)) {
            stream->close();
            return result->answer;
        }
    }
}

} // namespace flamingousher::peers
