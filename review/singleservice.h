#pragma once

#include "review/caller.h"

#include <random>
#include <vector>

namespace flamingousher::review {

// Nine VMs, a service of seven searchers, and callers that send requests which must not run twice.
class SingleServiceTrial {
public:
    explicit SingleServiceTrial(World&);

    // Starts the deployment and the callers. Returns false if the VMs do not become ready.
    bool start();
    void wait(std::chrono::milliseconds);

    // Stops the callers, and waits for the answers.
    void finish();

    const std::vector<Outcome>& outcomes() const { return outcomes_; }

private:
    static routing::Configuration makeConfiguration();
    void runCaller();

    World& world_;
    std::mt19937 random_ { 1 };
    std::vector<Outcome> outcomes_;
    std::uint64_t lastRequest_ { 0 };
    bool isStopping_ { false };
};

} // namespace flamingousher::review
