#include "http/server.h"

#include "base/types.h"
#include "http/internal/serverstate.h"
#include "http/internal/session.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"

namespace flamingousher::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    // On shutdown, requests that arrive within this time are still answered: their callers could not know of it.
    constexpr base::Duration IdleCloseDelay = std::chrono::milliseconds(200);

    // On shutdown, a request of which a part has arrived is dropped after this time.
    constexpr base::Duration PartialRequestCloseDelay = std::chrono::seconds(1);

} // namespace

Server::Server(boost::asio::io_context& io, ServerLimits limits, Handler handler, OpenByteCharge openCharge)
    : io_(io)
    , state_(std::make_shared<ServerState>())
{
    state_->limits = limits;
    state_->handler = std::move(handler);
    state_->openCharge = std::move(openCharge);
}

Server::~Server()
{
    beginShutdown();
    state_->isClosingIdle = true;
    state_->closeReading(Reading::NextRequest);
}

error_code Server::listen(const Endpoint& endpoint, bool isShared)
{
    auto acceptor = std::make_shared<tcp::acceptor>(io_);
    if (const error_code error = runtime::listenOn(*acceptor, endpoint, isShared))
        return error;
    acceptor_ = acceptor;
    runtime::spawnFiber([state = state_, acceptor] {
        runtime::acceptEach(*acceptor, [&](tcp::socket socket) { accept(state, std::move(socket)); });
    });
    return {};
}

Endpoint Server::localEndpoint() const
{
    return acceptor_->local_endpoint();
}

void Server::setLimits(const ServerLimits& limits)
{
    state_->limits = limits;
}

bool Server::isIdle() const
{
    return state_->isStopping ? state_->counters.open == 0 : state_->requestsInProgress == 0;
}

const ServerCounters& Server::counters() const
{
    return state_->counters;
}

void Server::accept(const std::shared_ptr<ServerState>& state, tcp::socket socket)
{
    if (state->isStopping)
        return;
    if (state->counters.open >= state->limits.connections && !state->closeLongestWaiting()) {
        ++state->counters.refusedConnections;
        return;
    }
    ++state->counters.accepted;
    runtime::spawnFiber([session = std::make_shared<Session>(state, std::move(socket))] { session->run(); });
}

void Server::beginShutdown()
{
    if (state_->isStopping)
        return;
    acceptQueued();
    state_->isStopping = true;
    error_code ignored;
    if (acceptor_)
        acceptor_->close(ignored);
    runtime::spawnFiber([state = state_, &io = io_] {
        runtime::sleepFor(io, IdleCloseDelay);
        state->isClosingIdle = true;
        state->closeReading(Reading::NextRequest);
        runtime::sleepFor(io, PartialRequestCloseDelay - IdleCloseDelay);
        state->closeReading(Reading::RestOfRequest);
    });
}

// Accepts the connections that are open for their peers already: closing the listener would reset them.
void Server::acceptQueued()
{
    error_code error;
    if (!acceptor_ || acceptor_->non_blocking(true, error))
        return;
    for (;;) {
        tcp::socket socket(io_);
        if (acceptor_->accept(socket, error))
            return;
        accept(state_, std::move(socket));
    }
}

} // namespace flamingousher::http
