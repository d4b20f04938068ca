#pragma once

#include "http/types.h"
#include "runtime/signal.h"
#include "tables/types.h"
#include "transport/types.h"
#include "transport/upstreamprotocol.h"
#include "upstreams/upstreamqueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace flamingousher::transport {

struct Connection;

struct LinkHooks {
    std::function<base::TimePoint()> now;
    std::function<void(UpstreamId, const UpstreamStatus&)> onStatus;

    // Called when the connection was lost during a sub-request and the upstream refuses new connections.
    std::function<void(UpstreamId, const SubRequest&)> onCrash;
};

struct LinkCounters {
    std::uint64_t sent { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t refusedNotRun { 0 };
    std::uint64_t lost { 0 };
    std::uint64_t cancelled { 0 };
    std::uint64_t opened { 0 };
    std::uint64_t silentDropped { 0 };
    std::uint64_t statusFailures { 0 };
};

// Manages the connections to one upstream and runs queued sub-requests on them, within the upstream's slots
// and connection limit. Not thread-safe.
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
public:
    // incarnation: string unique to this process incarnation, used as a prefix of the request ids sent upstream.
    UpstreamLink(boost::asio::io_context&, UpstreamId, const tables::Upstream&, const upstreams::QueueSettings&,
        const std::string& incarnation, LinkHooks);
    ~UpstreamLink();

    // Opens connections in advance and starts polling the upstream's status.
    void start();

    // Calls the callback exactly once, unless the sub-request is cancelled.
    void submit(SubRequest, SubCallback);

    // Cancels the sub-request. Its callback will not be called.
    void cancel(SubRequestId);

    // Fails sub-requests whose deadline has passed and detects unresponsive connections.
    void sweep();

    void setUpstream(const tables::Upstream&, const upstreams::QueueSettings&);

    // Rejects queued sub-requests as "not run", lets running ones finish, then closes the connections.
    void beginShutdown();

    bool isIdle() const { return pending_.empty(); }
    const upstreams::UpstreamQueue& queue() const { return queue_; }
    const LinkCounters& counters() const { return counters_; }
    const tables::Upstream& upstream() const { return upstream_; }
    const UpstreamStatus& status() const { return status_; }
    bool isDraining() const { return queue_.isDraining(); }
    std::size_t connectionCount() const { return connections_.size(); }

private:
    struct Pending {
        SubRequest request;
        SubCallback callback; // empty after the result was delivered or the sub-request cancelled
        base::TimePoint offeredAt;
        base::TimePoint sentAt;
        bool isRunning { false };
        bool isProbed { false };
        std::shared_ptr<Connection> connection;
    };

    void startQueued();
    void assignConnection(SubRequestId);
    std::shared_ptr<Connection> findOpeningConnection() const;
    std::shared_ptr<Connection> openConnection();
    void keepWarm();
    static void runConnection(const std::shared_ptr<UpstreamLink>&, const std::shared_ptr<Connection>&);
    bool connect(Connection&);
    void execute(const std::shared_ptr<Connection>&, SubRequestId);
    tl::expected<SubResponse, base::Error> exchange(Connection&, const SubRequest&);
    void finish(SubRequestId, tl::expected<SubResponse, base::Error>);
    bool hasCrashed();
    void refuse(SubRequestId, base::ErrorCode, base::Step, const std::string& detail);
    void deliver(Pending&, tl::expected<SubResponse, base::Error>);
    void recordOutcome(const Pending&, const tl::expected<SubResponse, base::Error>&);
    void probe(SubRequestId);
    void dropUnresponsiveConnections(base::TimePoint since);
    static void runControl(const std::shared_ptr<UpstreamLink>&);
    void refreshStatus();
    void sendCancels();
    tl::expected<http::Response, base::Error> requestOnNewConnection(
        boost::beast::http::verb, const std::string& target);
    tl::expected<http::Response, base::Error> requestOnIdleConnection(
        boost::beast::http::verb, const std::string& target);
    std::string wireId(SubRequestId) const;
    std::size_t connectionLimit() const;
    void setDraining(bool);

    boost::asio::io_context& io_;
    UpstreamId id_;
    tables::Upstream upstream_;
    http::Endpoint endpoint_;
    std::string incarnation_;
    LinkHooks hooks_;
    upstreams::UpstreamQueue queue_;
    UpstreamStatus status_;
    LinkCounters counters_;
    std::unordered_map<SubRequestId, Pending> pending_;
    std::vector<SubRequestId> running_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::vector<std::shared_ptr<Connection>> idle_; // reused in LIFO order
    std::vector<std::string> pendingCancels_; // wire ids
    boost::asio::steady_timer controlTimer_;
    bool isStopping_ { false };
    bool isReportedDraining_ { false }; // by the upstream's status or a response
    bool isProbing_ { false };
};

} // namespace flamingousher::transport
