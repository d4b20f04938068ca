#include "peers/peerserver.h"

#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/timeout.h"

namespace flamingousher::peers {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    constexpr base::Duration HeartbeatInterval = std::chrono::milliseconds(300);
    constexpr std::chrono::milliseconds HandshakeTimeout { 1'000 };

} // namespace

PeerServer::PeerServer(boost::asio::io_context& io, const PeerIdentity& identity, PeerCounters& counters, Hooks hooks)
    : io_(io)
    , identity_(identity)
    , counters_(counters)
    , hooks_(std::move(hooks))
    , acceptor_(io)
{
}

error_code PeerServer::listen(const http::Endpoint& endpoint)
{
    const error_code error = runtime::listenOn(acceptor_, endpoint);
    if (!error)
        runtime::spawnFiber([this] {
            runtime::acceptEach(acceptor_, [this](tcp::socket socket) {
                auto shared = std::make_shared<tcp::socket>(std::move(socket));
                runtime::spawnFiber([this, shared] { runSession(std::move(*shared)); });
            });
        });
    return error;
}

void PeerServer::runSession(tcp::socket socket)
{
    const auto session = std::make_shared<Session>();
    session->stream = std::make_shared<FrameStream>(std::move(socket), identity_, counters_);
    const auto hello = [&] {
        const runtime::Timeout timeout(io_, HandshakeTimeout, [&] { session->stream->close(); });
        return session->stream->handshake(false, hooks_.random());
    }();
    if (!hello) {
        session->stream->close();
        return;
    }
    sessions_.insert(session);
    runtime::spawnFiber([this, session] { writeLoop(session); });
    for (;;) {
        auto content = session->stream->receive();
        if (const auto* request = content ? std::get_if<wire::IdentityRequest>(&*content) : nullptr) {
            static_cast<void>(
                session->stream->send(wire::IdentityResult { request->id, hooks_.runIdentityRequest(*request) }));
            continue;
        }
        auto* batch = content ? std::get_if<wire::Batch>(&*content) : nullptr;
        if (!batch)
            break;
        handleBatch(session, std::move(*batch));
    }
    session->isClosed = true;
    session->stream->close();
    session->wakeUp.notify();
    sessions_.erase(session);
}

void PeerServer::writeLoop(const std::shared_ptr<Session>& session)
{
    while (!session->isClosed) {
        if (session->nextBatch.isEmpty() && hooks_.now() - session->lastSent < HeartbeatInterval) {
            session->wakeUp.wait();
            continue;
        }
        const wire::Batch batch = std::exchange(session->nextBatch, {});
        session->lastSent = hooks_.now();
        if (!session->stream->send(batch))
            return;
    }
}

void PeerServer::handleBatch(const std::shared_ptr<Session>& session, wire::Batch&& batch)
{
    for (wire::RemoteRequest& request : batch.requests)
        startRequest(session, std::move(request));
    for (const wire::RemoteCancel& cancel : batch.cancels) {
        const auto found = session->localIds.find(cancel.id);
        if (found == session->localIds.end())
            continue;
        hooks_.cancel(found->second, cancel.upstream);
        session->localIds.erase(found);
    }
    for (const std::string& upstream : batch.statusSubscriptions) {
        session->subscriptions.insert(upstream);
        if (const auto status = hooks_.status(upstream))
            session->nextBatch.statuses.push_back({ upstream, *status });
    }
    session->wakeUp.notify();
}

void PeerServer::startRequest(const std::shared_ptr<Session>& session, wire::RemoteRequest request)
{
    const transport::SubRequestId remoteId = request.request.id;
    const transport::SubRequestId localId = hooks_.nextId();
    request.request.id = localId;
    request.request.deadline = hooks_.now() + request.remaining;
    session->localIds.emplace(remoteId, localId);
    hooks_.submit(std::move(request), [session, remoteId](transport::SubResult result) {
        session->localIds.erase(remoteId);
        if (session->isClosed)
            return;
        session->nextBatch.results.push_back({ remoteId, std::move(result) });
        session->wakeUp.notify();
    });
}

void PeerServer::publishStatus(const wire::RemoteStatus& status)
{
    for (const auto& session : sessions_) {
        if (!session->subscriptions.contains(status.upstream))
            continue;
        session->nextBatch.statuses.push_back(status);
        session->wakeUp.notify();
    }
}

void PeerServer::sweep()
{
    const base::TimePoint now = hooks_.now();
    for (const auto& session : sessions_) {
        if (!session->localIds.empty() && now - session->lastSent >= HeartbeatInterval)
            session->wakeUp.notify();
    }
}

} // namespace flamingousher::peers
