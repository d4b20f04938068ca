#pragma once

#include "base/error.h"
#include "http/types.h"
#include "tables/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingousher::control {

// One edit of both tables as published by the configuration service.
struct PublishedTables {
    tables::Revision revision { 0 };
    std::string routes;
    std::string pools;

    bool operator==(const PublishedTables&) const = default;
};

struct WatcherCounters {
    std::uint64_t calls { 0 };
    std::uint64_t failures { 0 };
    std::uint64_t staleReads { 0 }; // responses whose revision was not newer than the known one
};

// Polls the configuration service for new revisions. Runs in a fiber of the control thread.
class ConfigurationWatcher {
public:
    using Listener = std::function<void(PublishedTables)>;

    ConfigurationWatcher(boost::asio::io_context&, const http::Endpoint&, Listener);

    // Polls until stopped. Makes no calls while paused.
    void run();

    void setPaused(bool isPaused) { isPaused_ = isPaused; }
    void stop() { isStopping_ = true; }

    // Only revisions after the known one are requested. A lower revision is ignored.
    void setKnownRevision(tables::Revision);

    // Returns true once the service has sent a valid response.
    bool hasAnswered() const { return hasAnswered_; }

    const WatcherCounters& counters() const { return counters_; }
    bool isServiceReachable() const { return isReachable_; }

private:
    bool poll();

    boost::asio::io_context& io_;
    http::Endpoint endpoint_;
    Listener listener_;
    WatcherCounters counters_;
    tables::Revision knownRevision_ { 0 };
    bool hasAnswered_ { false };
    bool isReachable_ { false };
    bool isPaused_ { false };
    bool isStopping_ { false };
};

} // namespace flamingousher::control
