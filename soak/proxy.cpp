#include "soak/proxy.h"

#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"
#include "runtime/usefiber.h"

#include <boost/asio/write.hpp>

#include <array>

namespace flamingousher::soak {

using boost::asio::ip::tcp;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::milliseconds BlockCheckInterval { 10 };
    constexpr std::chrono::seconds ConnectTimeout { 1 };

} // namespace

Proxy::Proxy(boost::asio::io_context& io, const http::Endpoint& target)
    : io_(io)
    , state_(std::make_shared<State>())
{
    state_->target = target;
}

error_code Proxy::listen(const http::Endpoint& endpoint)
{
    acceptor_ = std::make_shared<tcp::acceptor>(io_);
    if (const error_code error = runtime::listenOn(*acceptor_, endpoint))
        return error;
    runtime::spawnFiber([this, state = state_, acceptor = acceptor_] {
        runtime::acceptEach(*acceptor, [&](tcp::socket socket) {
            const auto link = std::make_shared<Link>(std::move(socket));
            state->links.push_back(link);
            runtime::spawnFiber([&io = io_, state, link] { serve(io, state, link); });
        });
    });
    return {};
}

void Proxy::Link::reset()
{
    for (tcp::socket* socket : { &clientSide, &serverSide }) {
        error_code ignored;
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

bool Proxy::Link::isRefusedBy(const CallerFilter& isRefused) const
{
    error_code error;
    const tcp::endpoint caller = clientSide.remote_endpoint(error);
    return !error && isRefused && isRefused(caller.port());
}

void Proxy::serve(boost::asio::io_context& io, const std::shared_ptr<State>& state, const std::shared_ptr<Link>& link)
{
    while (state->isForwardBlocked)
        runtime::sleepFor(io, BlockCheckInterval);
    if (state->isRefusing || link->isRefusedBy(state->isRefused)) {
        link->reset();
        return;
    }
    auto serverSide = runtime::connectWithin(io, state->target, ConnectTimeout);
    if (!serverSide) {
        link->reset();
        return;
    }
    link->serverSide = *std::move(serverSide);
    error_code ignored;
    for (tcp::socket* socket : { &link->clientSide, &link->serverSide })
        socket->set_option(tcp::no_delay(true), ignored);
    runtime::spawnFiber([&io, state, link] { relay(io, state, link, false); });
    relay(io, state, link, true);
}

void Proxy::relay(
    boost::asio::io_context& io, const std::shared_ptr<State>& state, const std::shared_ptr<Link>& link, bool isForward)
{
    tcp::socket& from = isForward ? link->clientSide : link->serverSide;
    tcp::socket& to = isForward ? link->serverSide : link->clientSide;
    std::array<char, 16 * 1024> bytes;
    for (;;) {
        error_code error;
        const std::size_t size = from.async_read_some(boost::asio::buffer(bytes), useFiber[error]);
        if (error && error != boost::asio::error::eof) {
            link->reset();
            return;
        }
        if (state->delay.count() > 0)
            runtime::sleepFor(io, state->delay);
        while (link->isStalled || (isForward ? state->isForwardBlocked : state->isBackwardBlocked))
            runtime::sleepFor(io, BlockCheckInterval);
        if (error) {
            to.shutdown(tcp::socket::shutdown_send, error);
            return;
        }
        boost::asio::async_write(to, boost::asio::buffer(bytes.data(), size), useFiber[error]);
        if (error) {
            link->reset();
            return;
        }
    }
}

void Proxy::setBlocked(bool forward, bool backward)
{
    state_->isForwardBlocked = forward;
    state_->isBackwardBlocked = backward;
}

std::vector<std::shared_ptr<Proxy::Link>> Proxy::openLinks()
{
    std::vector<std::shared_ptr<Link>> open;
    std::erase_if(state_->links, [](const auto& link) { return link.expired(); });
    for (const auto& weak : state_->links)
        open.push_back(weak.lock());
    return open;
}

void Proxy::resetAll()
{
    for (const auto& link : openLinks())
        link->reset();
}

void Proxy::resetRefusedCallers()
{
    for (const auto& link : openLinks()) {
        if (link->isRefusedBy(state_->isRefused))
            link->reset();
    }
}

void Proxy::stallOpenConnections()
{
    for (const auto& link : openLinks())
        link->isStalled = true;
}

} // namespace flamingousher::soak
