#pragma once

#include "discovery/types.h"
#include "platform/standins/storestandin.h"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

#include <sys/types.h>

namespace flamingousher::crashtest {

// Requests whose id begins with this end the searcher that runs them.
inline constexpr const char* CrashingPrefix = "crashing-";

struct SearcherProcess {
    discovery::UpstreamEntry entry;
    pid_t process { 0 };
    base::TimePoint endedAt;
};

// Searchers as processes of their own. One that ends is started again after some seconds at the same address, with
// another id. Used on one thread.
class Searchers {
public:
    // events: file to which the searchers append a line for each crashing request.
    Searchers(boost::asio::io_context&, platform::StoreStandIn&, std::string events);

    void add(const std::string& service, const std::string& zone, const std::string& endpoint);

    // Starts those that have ended, in the calling fiber, until stop().
    void keepRunning();

    // Ends all searchers.
    void stop();

    // Ends one searcher of the service.
    void kill(const std::string& service, std::size_t index);

    // Returns when crashing requests have arrived; each has ended a searcher.
    std::vector<base::TimePoint> crashingArrivals() const;

private:
    void start(SearcherProcess&);

    boost::asio::io_context& io_;
    platform::StoreStandIn& store_;
    std::string events_;
    std::vector<SearcherProcess> searchers_;
    std::size_t starts_ { 0 };
    bool isStopped_ { false };
};

// Runs one searcher in this process; does not return.
[[noreturn]] void runSearcher(
    const std::string& id, const std::string& service, const std::string& endpoint, const std::string& events);

} // namespace flamingousher::crashtest
