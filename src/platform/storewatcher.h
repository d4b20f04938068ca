#pragma once

#include "platform/storeclient.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingousher::platform {

// Follows the store: reads everything once, then waits for changes.
class StoreWatcher {
public:
    struct Hooks {
        std::function<std::uint32_t()> random;
        std::function<void(const routing::Configuration&)> onConfiguration;
        std::function<void(const std::vector<discovery::UpstreamEntry>&)> onAllUpstreams;
        std::function<void(const discovery::UpstreamEntry&)> onUpstream;
        std::function<void(const std::string& upstreamId)> onUpstreamGone;

        // Everything that one answer told has been handed over.
        std::function<void()> onCaughtUp;
        std::function<void(const base::Error&)> onLost;
        std::function<void()> onRegained;

        // An entry that cannot be read. It changes nothing.
        std::function<void(const base::Error&)> onUnreadable;
    };

    StoreWatcher(boost::asio::io_context&, const http::Endpoint&, Hooks);

    // Runs for ever, in the calling fiber.
    void run();

    bool isInTouch() const { return isInTouch_; }
    std::uint64_t revision() const { return revision_; }
    const StoreCounters& counters() const { return client_.counters(); }

private:
    bool readAll();
    bool awaitChanges();
    void apply(const StoreItem&);
    void applyConfiguration(const StoreItem&);
    void noteFailure(const base::Error&);
    void noteSuccess();
    void pause(std::chrono::milliseconds);

    boost::asio::io_context& io_;
    Hooks hooks_;
    StoreClient client_;
    std::uint64_t revision_ { 0 }; // everything up to it has been handed over
    bool isComplete_ { false }; // everything has been read once, and the history since is known
    bool mayReadStale_ { true };
    bool isInTouch_ { false };
    std::uint32_t failures_ { 0 }; // in a row
};

} // namespace flamingousher::platform
