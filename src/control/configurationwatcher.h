#pragma once

#include "base/error.h"
#include "http/types.h"
#include "tables/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingousher::control {

// One edit of both tables as the configuration service holds it.
struct PublishedTables {
    tables::Revision revision { 0 };
    std::string routes;
    std::string pools;

    bool operator==(const PublishedTables&) const = default;
};

struct WatcherCounters {
    std::uint64_t calls { 0 };
    std::uint64_t failures { 0 };
    std::uint64_t staleReads { 0 }; // the service showed a revision older than one it had shown before
};

// Reads the configuration service and waits for its changes. Runs in a fiber of the control thread.
class ConfigurationWatcher {
public:
    using Listener = std::function<void(PublishedTables)>;

    ConfigurationWatcher(boost::asio::io_context&, const http::Endpoint&, Listener);

    // Reads and waits until stopped. While paused, makes no calls.
    void run();

    void setPaused(bool isPaused) { isPaused_ = isPaused; }
    void stop() { isStopping_ = true; }

    // Revisions up to this one need not be sent again.
    void setKnownRevision(tables::Revision);

    // The service has answered at least once.
    bool didAnswer() const { return didAnswer_; }

    const WatcherCounters& counters() const { return counters_; }
    bool isServiceReachable() const { return isReachable_; }

private:
    bool readOnce();

    boost::asio::io_context& io_;
    http::Endpoint endpoint_;
    Listener listener_;
    WatcherCounters counters_;
    tables::Revision known_ { 0 };
    bool didAnswer_ { false };
    bool isReachable_ { false };
    bool isPaused_ { false };
    bool isStopping_ { false };
};

} // namespace flamingousher::control
