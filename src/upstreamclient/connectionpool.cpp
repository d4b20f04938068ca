#include "upstreamclient/connectionpool.h"

#include "runtime/fiberthread.h"
#include "upstreamclient/internal/connection.h"

#include <algorithm>
#include <utility>

namespace flamingousher::upstreamclient {

namespace {

    constexpr base::Duration FirstConnectBackoff = std::chrono::milliseconds(100);
    constexpr std::uint32_t MaxBackoffDoublings = 4; // 1.6 s, so that a recovered upstream is soon used again

    // An upstream that resets new connections is at its limit; more are attempted after this time.
    constexpr base::Duration ReducedLimitDuration = std::chrono::seconds(2);

    // A process that ends closes its connections one by one, and its port before or after them.
    constexpr base::Duration LossCheckDelay = std::chrono::milliseconds(20);

    // Connections beyond the warm ones are closed when idle for this long, since other VMs may need them.
    constexpr base::Duration SpareIdleTimeout = std::chrono::seconds(2);

} // namespace

std::string_view toString(Reach reach)
{
    switch (reach) {
    case Reach::Unknown:
        return "unknown";
    case Reach::Reached:
        return "reached";
    case Reach::Unreached:
        return "unreached";
    }
    return "invalid";
}

ConnectionPool::ConnectionPool(
    boost::asio::io_context& io, const PoolSettings& settings, const UpstreamProtocol& protocol, Hooks hooks)
    : io_(io)
    , settings_(settings)
    , protocol_(protocol)
    , hooks_(std::move(hooks))
{
}

ConnectionPool::~ConnectionPool() = default;

std::size_t ConnectionPool::connectionLimit() const
{
    return hooks_.now() < reducedLimitUntil_ ? std::min(reducedLimit_, settings_.maxConnections)
                                             : settings_.maxConnections;
}

void ConnectionPool::open()
{
    auto connection = std::make_shared<Connection>(io_, shared_from_this());
    connections_.push_back(connection);
    ++counters_.opened;
    runtime::spawnFiber([connection] { connection->run(); });
}

void ConnectionPool::keepWarm()
{
    // An unreached upstream is not used until a connection shows that it is reached again.
    const std::size_t wanted = std::max<std::size_t>(settings_.warmConnections, hasConnectFailed_ ? 1 : 0);
    const std::size_t target = std::min(wanted, connectionLimit());
    while (!isRetired_ && connections_.size() < target && hooks_.now() >= retryConnectAt_)
        open();
}

std::shared_ptr<Connection> ConnectionPool::findConnection() const
{
    std::shared_ptr<Connection> best;
    for (const auto& connection : connections_) {
        // The most recently used connection is the least likely to have been closed by the upstream.
        if (connection->isFree() && (!best || connection->lastProgress() > best->lastProgress()))
            best = connection;
    }
    if (best)
        return best;
    const auto opening = std::ranges::find_if(
        connections_, [](const auto& connection) { return connection->isOpening() && !connection->isBusy(); });
    return opening == connections_.end() ? nullptr : *opening;
}

bool ConnectionPool::hasCapacity() const
{
    if (isRetired_)
        return false;
    return findConnection() != nullptr || (connections_.size() < connectionLimit() && hooks_.now() >= retryConnectAt_);
}

bool ConnectionPool::isReachable() const
{
    const bool isConnected
        = std::ranges::any_of(connections_, [](const auto& connection) { return !connection->isOpening(); });
    return !isRetired_ && (isConnected || hooks_.now() >= retryConnectAt_);
}

bool ConnectionPool::hasProvenConnection(base::TimePoint openedAfter) const
{
    return std::ranges::any_of(connections_, [&](const auto& connection) {
        return connection->openedAt() >= openedAfter && connection->isProven(hooks_.now());
    });
}

Reach ConnectionPool::reach() const
{
    if (hasConnectFailed_)
        return hasProvenConnection({}) ? Reach::Reached : Reach::Unreached;
    return std::ranges::any_of(connections_, [](const auto& connection) { return connection->isEstablished(); })
        ? Reach::Reached
        : Reach::Unknown;
}

void ConnectionPool::send(const Attempt& attempt, AttemptCallback callback)
{
    std::shared_ptr<Connection> connection = findConnection();
    if (!connection) {
        open();
        connection = connections_.back();
    }
    connection->start(attempt, std::move(callback));
}

void ConnectionPool::drop(AttemptId id)
{
    for (const auto& connection : connections_) {
        if (connection->drop(id))
            return;
    }
}

bool ConnectionPool::hasUnreadData(AttemptId id) const
{
    return std::ranges::any_of(connections_, [&](const auto& connection) { return connection->hasUnreadData(id); });
}

// An upstream at its connection limit accepts a connection before resetting it, so only an answer ends the backoff.
void ConnectionPool::onAnswered()
{
    connectFailures_ = 0;
    retryConnectAt_ = {};
    hasConnectFailed_ = false;
}

void ConnectionPool::onConnectFailed()
{
    hasConnectFailed_ = true;
    connectFailedAt_ = hooks_.now();
    const std::uint32_t doublings = std::min(connectFailures_++, MaxBackoffDoublings);
    retryConnectAt_ = hooks_.now() + FirstConnectBackoff * (1U << doublings);
}

void ConnectionPool::onAttemptLost(const Attempt& attempt)
{
    if (!attempt.onUpstreamCrashed || isRetired_)
        return;
    lostAttempts_.push_back(attempt.onUpstreamCrashed);
    lastLossAt_ = hooks_.now();
}

// A lost connection alone is no crash: the network or the upstream may have reset it. A connection that is still open
// shows that the process lives, and a refused one that it has ended while its host lives. A host that does not answer
// says nothing of the process.
void ConnectionPool::checkLostAttempts(base::TimePoint now)
{
    if (lostAttempts_.empty() || now < lastLossAt_ + LossCheckDelay)
        return;
    if (isRetired_
        || std::ranges::any_of(connections_, [](const auto& connection) { return !connection->isOpening(); })) {
        lostAttempts_.clear();
        return;
    }
    if (connections_.empty())
        open();
}

void ConnectionPool::reportCrash()
{
    const auto callbacks = std::exchange(lostAttempts_, {});
    if (callbacks.empty())
        return;
    ++counters_.crashed;
    if (hooks_.onCrashed)
        hooks_.onCrashed(callbacks.size());
    for (const auto& callback : callbacks)
        callback();
}

void ConnectionPool::onClosed(const std::shared_ptr<Connection>& connection, bool wasRefusedAtLimit)
{
    std::erase(connections_, connection);
    if (wasRefusedAtLimit) {
        ++counters_.refusedAtLimit;
        reducedLimit_ = std::max<std::size_t>(1, connections_.size());
        reducedLimitUntil_ = hooks_.now() + ReducedLimitDuration;
        if (connections_.empty())
            onConnectFailed();
    }
    if (!isRetired_)
        hooks_.onCapacity();
}

void ConnectionPool::sweep()
{
    const base::TimePoint now = hooks_.now();
    for (const auto& connection : std::vector(connections_)) {
        if (!connection->isOverdue(now))
            continue;
        ++counters_.aborted;
        closeSilentSince(connection->sentAt());
        connection->close("no answer in time");
    }
    if (hasConnectFailed_ && hasProvenConnection(connectFailedAt_))
        hasConnectFailed_ = false;
    closeUnneeded(now);
    checkLostAttempts(now);
    keepWarm();
}

// Closes idle connections without progress since the send time of an unanswered request: the network may have dropped
// their state.
void ConnectionPool::closeSilentSince(base::TimePoint since)
{
    for (const auto& connection : std::vector(connections_)) {
        if (connection->isFree() && connection->lastProgress() < since) {
            ++counters_.silentDropped;
            connection->close("silent");
        }
    }
}

void ConnectionPool::closeUnneeded(base::TimePoint now)
{
    std::size_t open = connections_.size();
    for (const auto& connection : std::vector(connections_)) {
        if (open <= settings_.warmConnections)
            return;
        const bool isUnused = connection->lastProgress() + SpareIdleTimeout < now;
        if (!connection->isFree() || !(isUnused || open > settings_.maxConnections))
            continue;
        connection->close("not needed");
        --open;
    }
}

void ConnectionPool::setSettings(const PoolSettings& settings)
{
    settings_ = settings;
}

void ConnectionPool::retire()
{
    isRetired_ = true;
    lostAttempts_.clear();
    for (const auto& connection : std::vector(connections_)) {
        if (!connection->isBusy())
            connection->close("retired");
    }
}

} // namespace flamingousher::upstreamclient
