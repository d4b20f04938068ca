#include "transport/upstreamlink.h"

#include "http/client.h"
#include "http/parser.h"
#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "runtime/timeout.h"
#include "runtime/usefiber.h"
#include "transport/internal/connection.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace flamingousher::transport {

namespace beast = boost::beast;
using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using beast::http::verb;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    constexpr std::chrono::milliseconds ConnectTimeout { 1'000 };
    constexpr std::chrono::milliseconds ControlTimeout { 1'000 };
    constexpr std::chrono::milliseconds StatusInterval { 1'000 };

    // Part of the connection limit reserved for status, cancel and probe requests.
    constexpr std::size_t ControlConnections = 2;

    // A running sub-request is probed this long after its deadline, or this long after it was sent.
    constexpr base::Duration OverdueProbeDelay = std::chrono::milliseconds(250);
    constexpr base::Duration ProbeDelay = std::chrono::seconds(1);

    constexpr std::chrono::milliseconds CrashCheckTimeout { 50 };

    // A dying process may accept connections for some milliseconds after its other connections were lost.
    constexpr int MaxCrashChecks = 3;
    constexpr std::chrono::milliseconds CrashCheckInterval { 10 };

    constexpr std::uint64_t MaxResponseBytes = 8ULL * 1024 * 1024;

} // namespace

UpstreamLink::UpstreamLink(boost::asio::io_context& io, UpstreamId id, const tables::Upstream& upstream,
    const upstreams::QueueSettings& settings, const std::string& incarnation, LinkHooks hooks)
    : io_(io)
    , id_(id)
    , upstream_(upstream)
    , endpoint_(boost::asio::ip::make_address(upstream.address), upstream.port)
    , incarnation_(incarnation)
    , hooks_(std::move(hooks))
    , queue_(settings)
    , controlTimer_(io)
{
    queue_.setDraining(upstream.state == tables::UpstreamState::Draining);
}

UpstreamLink::~UpstreamLink() = default;

void UpstreamLink::start()
{
    keepWarm();
    runtime::spawnFiber([self = shared_from_this()] { runControl(self); });
}

std::size_t UpstreamLink::connectionLimit() const
{
    return upstream_.connections > 2 * ControlConnections ? upstream_.connections - ControlConnections
                                                          : upstream_.connections;
}

void UpstreamLink::keepWarm()
{
    // One spare connection, so that a closing connection does not delay the next sub-request.
    const std::size_t targetCount = std::min<std::size_t>(queue_.slots() + 1, connectionLimit());
    while (connections_.size() < targetCount && !isStopping_)
        openConnection();
}

void UpstreamLink::submit(SubRequest request, SubCallback callback)
{
    const base::TimePoint now = hooks_.now();
    const SubRequestId id = request.id;
    const upstreams::QueuedWork work { id, request.rank, request.caller, request.deadline };
    pending_.emplace(id, Pending { std::move(request), std::move(callback), now });
    if (isStopping_) {
        refuse(id, ErrorCode::Draining, Step::Queue, "the upstream owner is shutting down");
        return;
    }
    switch (queue_.offer(work, now)) {
    case upstreams::OfferResult::Queued:
        startQueued();
        return;
    case upstreams::OfferResult::QueueFull:
        refuse(id, ErrorCode::Overloaded, Step::Queue, "the upstream queue is full");
        return;
    case upstreams::OfferResult::CannotMeetDeadline:
        refuse(id, ErrorCode::Overloaded, Step::Queue, "no slot available before the deadline");
        return;
    case upstreams::OfferResult::Draining:
        refuse(id, ErrorCode::Draining, Step::Queue, "the upstream is draining");
        return;
    }
}

void UpstreamLink::refuse(SubRequestId id, ErrorCode code, Step step, const std::string& detail)
{
    ++counters_.refusedNotRun;
    const auto found = pending_.find(id);
    Pending pending = std::move(found->second);
    pending_.erase(found);
    deliver(pending, tl::unexpected(Error { code, step, upstream_.endpoint(), detail, RunState::NotRun }));
}

void UpstreamLink::deliver(Pending& pending, tl::expected<SubResponse, Error> value)
{
    if (!pending.callback)
        return;
    const base::TimePoint now = hooks_.now();
    SubResult result { std::move(value) };
    result.queued = (pending.isRunning ? pending.sentAt : now) - pending.offeredAt;
    result.served = pending.isRunning ? now - pending.sentAt : base::Duration::zero();
    std::exchange(pending.callback, nullptr)(std::move(result));
}

void UpstreamLink::startQueued()
{
    for (const upstreams::QueuedWork& work : queue_.startReady(hooks_.now()))
        assignConnection(work.id);
}

void UpstreamLink::assignConnection(SubRequestId id)
{
    std::shared_ptr<Connection> connection;
    if (!idle_.empty()) {
        connection = std::move(idle_.back());
        idle_.pop_back();
    } else if ((connection = findOpeningConnection())) {
        // The sub-request is sent as soon as the connection is open.
    } else if (connections_.size() < connectionLimit()) {
        connection = openConnection();
    } else {
        queue_.finish(id, hooks_.now());
        refuse(id, ErrorCode::Overloaded, Step::Connect, "connection limit reached");
        return;
    }
    Pending& pending = pending_.at(id);
    pending.isRunning = true;
    pending.sentAt = hooks_.now();
    pending.connection = connection;
    running_.push_back(id);
    connection->currentId = id;
    connection->wakeUp.notify();
}

// Returns a connection that is being opened and has no sub-request yet, or null.
std::shared_ptr<Connection> UpstreamLink::findOpeningConnection() const
{
    const auto found = std::ranges::find_if(connections_, [](const auto& connection) {
        return !connection->isConnected && !connection->isClosing && !connection->currentId;
    });
    return found == connections_.end() ? nullptr : *found;
}

std::shared_ptr<Connection> UpstreamLink::openConnection()
{
    auto connection = std::make_shared<Connection>(io_);
    connections_.push_back(connection);
    ++counters_.opened;
    runtime::spawnFiber([self = shared_from_this(), connection] { runConnection(self, connection); });
    return connection;
}

void UpstreamLink::runConnection(
    const std::shared_ptr<UpstreamLink>& self, const std::shared_ptr<Connection>& connection)
{
    while (!connection->isClosing) {
        if (!connection->isConnected && !self->connect(*connection))
            break;
        if (!connection->currentId && self->isStopping_)
            break;
        if (!connection->currentId) {
            self->idle_.push_back(connection);
            // A notification of an earlier sub-request may still be pending. Without this loop it would add the
            // connection to idle_ twice.
            while (!connection->currentId && !connection->isClosing)
                connection->wakeUp.wait();
            continue;
        }
        self->execute(connection, *connection->currentId);
    }
    if (connection->currentId) {
        const SubRequestId id = *std::exchange(connection->currentId, std::nullopt);
        self->finish(id,
            tl::unexpected(Error { ErrorCode::Unreachable, Step::Connect, self->upstream_.endpoint(),
                "failed to open a connection", RunState::NotRun }));
    }
    connection->isClosing = true;
    std::erase(self->idle_, connection);
    std::erase(self->connections_, connection);
}

bool UpstreamLink::connect(Connection& connection)
{
    auto socket = runtime::connectWithin(io_, endpoint_, ConnectTimeout);
    if (!socket || connection.isClosing)
        return false;
    connection.socket = *std::move(socket);
    connection.buffer.clear();
    setUpstreamOptions(connection.socket);
    connection.isConnected = true;
    connection.lastProgress = hooks_.now();
    return true;
}

void UpstreamLink::execute(const std::shared_ptr<Connection>& connection, SubRequestId id)
{
    if (isClosedByPeer(connection->socket)) {
        // The idle connection was closed. Nothing has been sent yet, so it is safe to reconnect.
        connection->isConnected = false;
        return;
    }
    ++counters_.sent;
    Pending& pending = pending_.at(id);
    pending.sentAt = hooks_.now();
    const SubRequest request = pending.request;
    tl::expected<SubResponse, Error> value = exchange(*connection, request);
    connection->currentId.reset();
    if (!value && value.error().code == ErrorCode::ConnectionLost && hasCrashed())
        value.error().code = ErrorCode::UpstreamCrashed;
    finish(id, std::move(value));
}

tl::expected<SubResponse, Error> UpstreamLink::exchange(Connection& connection, const SubRequest& subRequest)
{
    const std::string peer = upstream_.endpoint();
    const http::Request request = encodeSubRequest(subRequest, wireId(subRequest.id), hooks_.now());
    error_code error;
    beast::http::async_write(connection.socket, request, useFiber[error]);
    if (error) {
        connection.isClosing = true;
        return tl::unexpected(
            Error { ErrorCode::ConnectionLost, Step::Send, peer, error.message(), RunState::Unknown });
    }
    http::ResponseParser parser;
    parser.body_limit(MaxResponseBytes);
    beast::http::async_read(connection.socket, connection.buffer, parser, useFiber[error]);
    if (error) {
        connection.isClosing = true;
        const bool isProtocolError
            = error.category() == beast::http::make_error_code(beast::http::error::bad_version).category()
            && error != beast::http::error::end_of_stream && error != beast::http::error::partial_message;
        const ErrorCode code = isProtocolError ? ErrorCode::ProtocolViolation : ErrorCode::ConnectionLost;
        return tl::unexpected(Error { code, Step::Receive, peer, error.message(), RunState::Unknown });
    }
    connection.lastProgress = hooks_.now();
    http::Response response = parser.release();
    connection.isClosing = connection.isClosing || !response.keep_alive();
    return decodeSubResponse(subRequest, peer, std::move(response));
}

// A lost connection alone does not count as a crash: the upstream must also refuse a new one.
bool UpstreamLink::hasCrashed()
{
    for (int check = 0; check < MaxCrashChecks; ++check) {
        const auto status
            = http::fetch(io_, endpoint_, http::makeRequest(verb::get, std::string(StatusPath)), CrashCheckTimeout);
        if (status)
            return false;
        if (status.error().step == Step::Connect)
            return true;
        runtime::sleepFor(io_, CrashCheckInterval);
    }
    return false;
}

void UpstreamLink::finish(SubRequestId id, tl::expected<SubResponse, Error> value)
{
    const auto found = pending_.find(id);
    Pending pending = std::move(found->second);
    pending_.erase(found);
    std::erase(running_, id);
    queue_.finish(id, hooks_.now());
    recordOutcome(pending, value);
    deliver(pending, std::move(value));
    keepWarm();
    startQueued();
}

void UpstreamLink::recordOutcome(const Pending& pending, const tl::expected<SubResponse, Error>& value)
{
    if (value) {
        ++counters_.answered;
        return;
    }
    if (value.error().code == ErrorCode::Draining) {
        isReportedDraining_ = true;
        setDraining(true);
    }
    const bool isCrash = value.error().code == ErrorCode::UpstreamCrashed;
    if (!isCrash && value.error().code != ErrorCode::ConnectionLost)
        return;
    ++counters_.lost;
    if (isCrash)
        hooks_.onCrash(id_, pending.request);
}

void UpstreamLink::cancel(SubRequestId id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    ++counters_.cancelled;
    if (queue_.cancel(id) == upstreams::CancelResult::RemovedBeforeStart) {
        pending_.erase(found);
        return;
    }
    found->second.callback = nullptr;
    pendingCancels_.push_back(wireId(id));
    controlTimer_.cancel();
}

void UpstreamLink::sweep()
{
    const base::TimePoint now = hooks_.now();
    for (const upstreams::QueuedWork& work : queue_.removeExpired(now))
        refuse(work.id, ErrorCode::DeadlineExceeded, Step::Queue, "deadline exceeded while queued");
    for (SubRequestId id : std::vector<SubRequestId>(running_)) {
        const auto found = pending_.find(id);
        if (found == pending_.end())
            continue;
        Pending& pending = found->second;
        const base::TimePoint deadline = pending.request.deadline;
        if (now >= deadline && pending.callback) {
            pendingCancels_.push_back(wireId(id));
            controlTimer_.cancel();
            deliver(pending,
                tl::unexpected(Error { ErrorCode::DeadlineExceeded, Step::Receive, upstream_.endpoint(),
                    "no answer in time", RunState::Unknown }));
        }
        const bool needsProbe = now >= std::min(deadline + OverdueProbeDelay, pending.sentAt + ProbeDelay);
        if (needsProbe && !pending.isProbed && !isProbing_) {
            pending.isProbed = true;
            isProbing_ = true;
            runtime::spawnFiber([self = shared_from_this(), id] { self->probe(id); });
        }
    }
}

// Queries the state of a sub-request over a new connection. If that works and the upstream does not know the
// sub-request (any more), its connection is unresponsive, as are all others without progress since it was sent.
void UpstreamLink::probe(SubRequestId id)
{
    const auto response = requestOnNewConnection(verb::get, std::string(RequestsPath) + wireId(id));
    isProbing_ = false;
    const auto found = pending_.find(id);
    if (found == pending_.end() || !found->second.connection)
        return;
    if (!response) {
        found->second.connection->close();
        return;
    }
    const bool isOverdue = hooks_.now() >= found->second.request.deadline;
    if (response->result() == http::Status::ok && !isOverdue) {
        found->second.isProbed = false;
        found->second.sentAt = std::max(found->second.sentAt, hooks_.now() - ProbeDelay / 2);
        return;
    }
    dropUnresponsiveConnections(found->second.sentAt);
}

void UpstreamLink::dropUnresponsiveConnections(base::TimePoint since)
{
    for (const std::shared_ptr<Connection>& connection : std::vector(connections_)) {
        if (!connection->isConnected || connection->lastProgress > since)
            continue;
        ++counters_.silentDropped;
        std::erase(idle_, connection);
        connection->close();
    }
}

void UpstreamLink::setDraining(bool isDraining)
{
    const bool isConfiguredDraining = upstream_.state == tables::UpstreamState::Draining;
    queue_.setDraining(isDraining || isConfiguredDraining);
    if (!queue_.isDraining())
        return;
    for (const upstreams::QueuedWork& work : queue_.removeAllWaiting())
        refuse(work.id, ErrorCode::Draining, Step::Queue, "the upstream is draining");
}

void UpstreamLink::setUpstream(const tables::Upstream& upstream, const upstreams::QueueSettings& settings)
{
    upstream_ = upstream;
    queue_.setSettings(settings);
    setDraining(isReportedDraining_);
    keepWarm();
    startQueued();
}

void UpstreamLink::beginShutdown()
{
    isStopping_ = true;
    for (const upstreams::QueuedWork& work : queue_.removeAllWaiting())
        refuse(work.id, ErrorCode::Draining, Step::Queue, "the upstream owner is shutting down");
    for (const std::shared_ptr<Connection>& connection : std::vector(idle_))
        connection->close();
    idle_.clear();
    controlTimer_.cancel();
}

void UpstreamLink::runControl(const std::shared_ptr<UpstreamLink>& self)
{
    base::TimePoint nextStatus = self->hooks_.now();
    while (!self->isStopping_) {
        self->sendCancels();
        if (self->hooks_.now() >= nextStatus) {
            self->refreshStatus();
            nextStatus = self->hooks_.now() + StatusInterval;
        }
        if (!self->pendingCancels_.empty())
            continue;
        self->controlTimer_.expires_at(nextStatus);
        error_code ignored;
        self->controlTimer_.async_wait(useFiber[ignored]);
    }
}

void UpstreamLink::sendCancels()
{
    for (const std::string& name : std::exchange(pendingCancels_, {}))
        requestOnIdleConnection(verb::delete_, std::string(RequestsPath) + name);
}

void UpstreamLink::refreshStatus()
{
    const auto response = requestOnIdleConnection(verb::get, std::string(StatusPath));
    const auto status = response ? decodeStatus(upstream_.endpoint(), response->body())
                                 : tl::expected<UpstreamStatus, Error>(tl::unexpected(response.error()));
    if (!status) {
        ++counters_.statusFailures;
        return;
    }
    status_ = *status;
    isReportedDraining_ = status->isDraining;
    setDraining(isReportedDraining_);
    keepWarm();
    hooks_.onStatus(id_, *status);
}

tl::expected<http::Response, Error> UpstreamLink::requestOnNewConnection(verb method, const std::string& target)
{
    return http::fetch(io_, endpoint_, http::makeRequest(method, target), ControlTimeout);
}

tl::expected<http::Response, Error> UpstreamLink::requestOnIdleConnection(verb method, const std::string& target)
{
    // Without a spare connection, using an idle one could leave a free slot without a connection.
    if (idle_.empty() || connections_.size() <= queue_.slots())
        return requestOnNewConnection(method, target);
    // Uses the least recently used connection, so that an unresponsive one is found before a sub-request needs it.
    const std::shared_ptr<Connection> connection = idle_.front();
    idle_.erase(idle_.begin());
    const runtime::Timeout timeout(io_, ControlTimeout, [&] { connection->close(); });
    error_code error;
    http::Request request = http::makeRequest(method, target);
    request.keep_alive(true);
    beast::http::async_write(connection->socket, request, useFiber[error]);
    http::ResponseParser parser;
    if (!error)
        beast::http::async_read(connection->socket, connection->buffer, parser, useFiber[error]);
    if (error || connection->isClosing) {
        connection->close();
        return tl::unexpected(Error {
            ErrorCode::ConnectionLost, Step::Receive, upstream_.endpoint(), error.message(), RunState::Unknown });
    }
    connection->lastProgress = hooks_.now();
    http::Response response = parser.release();
    if (isStopping_ || !response.keep_alive())
        connection->close();
    else
        idle_.insert(idle_.begin(), connection);
    return response;
}

std::string UpstreamLink::wireId(SubRequestId id) const
{
    return incarnation_ + "-" + std::to_string(id);
}

} // namespace flamingousher::transport
