#include "peers/peerlink.h"

#include "http/client.h"
#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/sleep.h"
#include "runtime/timeout.h"

#include <algorithm>

namespace flamingousher::peers {

using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;

namespace {

    constexpr std::chrono::milliseconds ConnectTimeout { 500 };
    constexpr std::chrono::milliseconds ReconnectDelay { 100 };

    // A peer with outstanding sub-requests of this link sends a batch at least every 300 ms.
    constexpr base::Duration SilenceTimeout = std::chrono::milliseconds(1'000);

    constexpr base::Duration OverdueGrace = std::chrono::milliseconds(50);

} // namespace

PeerLink::PeerLink(boost::asio::io_context& io, const http::Endpoint& endpoint, const PeerIdentity& identity,
    PeerCounters& counters, Hooks hooks)
    : io_(io)
    , endpoint_(endpoint)
    , identity_(identity)
    , counters_(counters)
    , hooks_(std::move(hooks))
{
}

void PeerLink::start()
{
    runtime::spawnFiber([self = shared_from_this()] { run(self); });
}

void PeerLink::submit(wire::RemoteRequest request, transport::SubCallback callback)
{
    if (outstanding_.empty())
        waitingSince_ = hooks_.now();
    outstanding_.emplace(request.request.id, Outstanding { std::move(callback), request.request.deadline });
    nextBatch_.requests.push_back(std::move(request));
    wakeUp_.notify();
}

void PeerLink::cancel(transport::SubRequestId id, const std::string& upstream)
{
    const auto found = outstanding_.find(id);
    if (found == outstanding_.end())
        return;
    const bool wasSent = found->second.isSent;
    outstanding_.erase(found);
    if (wasSent)
        nextBatch_.cancels.push_back({ id, upstream });
    else
        std::erase_if(
            nextBatch_.requests, [&](const wire::RemoteRequest& request) { return request.request.id == id; });
    wakeUp_.notify();
}

void PeerLink::subscribeToStatuses(const std::set<std::string>& upstreams)
{
    for (const std::string& upstream : upstreams) {
        if (subscriptions_.insert(upstream).second)
            nextBatch_.statusSubscriptions.push_back(upstream);
    }
    std::erase_if(subscriptions_, [&](const std::string& upstream) { return !upstreams.contains(upstream); });
    wakeUp_.notify();
}

void PeerLink::run(const std::shared_ptr<PeerLink>& self)
{
    while (!self->isClosing_) {
        if (self->nextBatch_.isEmpty() && self->subscriptions_.empty()) {
            self->wakeUp_.wait();
            continue;
        }
        const std::shared_ptr<FrameStream> stream = self->connect();
        if (!stream) {
            self->failAll("upstream owner is unreachable");
            runtime::sleepFor(self->io_, ReconnectDelay);
            continue;
        }
        self->stream_ = stream;
        self->lastReceived_ = self->hooks_.now();
        self->nextBatch_.statusSubscriptions.assign(self->subscriptions_.begin(), self->subscriptions_.end());
        runtime::spawnFiber([self, stream] { readLoop(self, stream); });
        self->writeLoop(*stream);
        stream->close();
        self->stream_ = nullptr;
        ++self->counters_.connectionsLost;
        self->failAll("connection to the upstream owner was lost");
    }
    self->failAll("peer link closed");
}

std::shared_ptr<FrameStream> PeerLink::connect()
{
    auto socket = runtime::connectWithin(io_, endpoint_, ConnectTimeout);
    if (!socket)
        return nullptr;
    auto stream = std::make_shared<FrameStream>(*std::move(socket), identity_, counters_);
    const runtime::Timeout timeout(io_, ConnectTimeout, [&] { stream->close(); });
    const auto hello = stream->handshake(true, hooks_.random());
    return hello ? stream : nullptr;
}

void PeerLink::writeLoop(FrameStream& stream)
{
    while (!isClosing_ && stream.socket().is_open()) {
        if (nextBatch_.isEmpty()) {
            wakeUp_.wait();
            continue;
        }
        wire::Batch batch = std::exchange(nextBatch_, {});
        const base::TimePoint now = hooks_.now();
        for (wire::RemoteRequest& request : batch.requests) {
            request.remaining = request.request.deadline - now;
            const auto found = outstanding_.find(request.request.id);
            if (found != outstanding_.end())
                found->second.isSent = true;
        }
        if (!stream.send(batch))
            return;
    }
}

void PeerLink::readLoop(const std::shared_ptr<PeerLink>& self, const std::shared_ptr<FrameStream>& stream)
{
    for (;;) {
        auto content = stream->receive();
        auto* batch = content ? std::get_if<wire::Batch>(&*content) : nullptr;
        if (!batch)
            break;
        self->lastReceived_ = self->hooks_.now();
        self->handleBatch(std::move(*batch));
    }
    stream->close();
    self->wakeUp_.notify();
}

void PeerLink::handleBatch(wire::Batch&& batch)
{
    for (wire::RemoteResult& remote : batch.results)
        finish(remote.id, std::move(remote.result));
    for (const wire::RemoteStatus& status : batch.statuses)
        hooks_.onStatus(status);
}

void PeerLink::finish(transport::SubRequestId id, transport::SubResult result)
{
    const auto found = outstanding_.find(id);
    if (found == outstanding_.end())
        return;
    const transport::SubCallback callback = std::move(found->second.callback);
    outstanding_.erase(found);
    waitingSince_ = hooks_.now();
    callback(std::move(result));
}

void PeerLink::failAll(const std::string& detail)
{
    nextBatch_ = {};
    for (auto& [id, outstanding] : std::exchange(outstanding_, {})) {
        // A sub-request that was never sent cannot have run.
        const RunState state = outstanding.isSent ? RunState::Unknown : RunState::NotRun;
        const ErrorCode code = outstanding.isSent ? ErrorCode::ConnectionLost : ErrorCode::Unreachable;
        outstanding.callback({ tl::unexpected(Error { code, Step::Peer, http::toString(endpoint_), detail, state }) });
    }
}

void PeerLink::sweep()
{
    const base::TimePoint now = hooks_.now();
    std::vector<transport::SubRequestId> overdue;
    for (const auto& [id, outstanding] : outstanding_) {
        if (now >= outstanding.deadline + OverdueGrace)
            overdue.push_back(id);
    }
    for (transport::SubRequestId id : overdue) {
        finish(id,
            { tl::unexpected(Error { ErrorCode::DeadlineExceeded, Step::Peer, http::toString(endpoint_),
                "no answer from the upstream owner in time", RunState::Unknown }) });
    }
    const bool isSilent
        = stream_ && !outstanding_.empty() && now - std::max(lastReceived_, waitingSince_) > SilenceTimeout;
    if (isSilent) {
        stream_->close();
        wakeUp_.notify();
    }
}

void PeerLink::close()
{
    isClosing_ = true;
    if (stream_)
        stream_->close();
    wakeUp_.notify();
}

} // namespace flamingousher::peers
