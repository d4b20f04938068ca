#pragma once

#include "peers/framestream.h"

#include <boost/asio/io_context.hpp>

namespace flamingousher::peers {

// Forwards a request to the process incarnation that issued its identity and waits for the answer, in the
// calling fiber. If that incarnation is unreachable, the error's run state is "unknown".
tl::expected<transport::ServiceAnswer, base::Error> forwardToIssuer(boost::asio::io_context&, const http::Endpoint&,
    std::uint64_t boot, const PeerIdentity&, PeerCounters&, std::uint64_t nonce, const wire::IdentityRequest&);

} // namespace flamingousher::peers
