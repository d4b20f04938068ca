#pragma once

#include "fleet/fleetcore.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::fleet::tests {

struct SimulationSettings {
    std::size_t nodes { 9 };
    std::size_t zones { 3 };
    std::size_t upstreams { 30 };
    std::uint32_t slots { 3 };
    double loss { 0 };
    std::uint64_t seed { 1 };
};

// Simulates several fleet cores with lossy links in virtual time and checks invariants at every step.
class FleetSimulation {
public:
    explicit FleetSimulation(const SimulationSettings&);

    void runFor(std::chrono::milliseconds);

    std::size_t addNode(); // listed immediately
    void kill(std::size_t node); // stays listed, as the platform's list is updated late
    void leave(std::size_t node);
    void pause(std::size_t node, std::chrono::milliseconds);
    void unlist(std::size_t node);

    // Drops all messages between the group and the other nodes.
    void partition(const std::set<std::size_t>& group) { group_ = group; }
    void heal() { group_.clear(); }

    // Publishes a revision. Watchers that are up read it at their next step unless the service is down.
    void publish(const std::string& marker);
    void setServiceDown(bool isDown) { isServiceDown_ = isDown; }
    void setServiceRevision(std::uint64_t revision) { visibleRevision_ = revision; }

    bool isUp(std::size_t node) const { return nodes_[node].core && !isPaused(node); }
    const FleetCore& core(std::size_t node) const { return *nodes_[node].core; }
    std::size_t size() const { return nodes_.size(); }
    std::uint64_t published() const { return published_; }
    base::TimePoint now() const { return now_; }

    std::size_t countAtRevision(std::uint64_t) const;
    std::size_t upCount() const;

    // Counters of the checks that run at every step.
    std::uint64_t revisionRegressions { 0 };
    std::uint64_t limitViolations { 0 };
    std::uint64_t falseDeaths { 0 }; // a live, unpaused node declared dead by another
    std::uint64_t stepsWithoutOwner { 0 }; // summed over all upstreams
    std::uint64_t upstreamSteps { 0 };
    std::uint64_t messages { 0 };
    std::uint64_t serviceCalls { 0 };

private:
    struct Node {
        NodeInfo info;
        std::unique_ptr<FleetCore> core;
        base::TimePoint pausedUntil;
        std::uint64_t lastRevision { 0 };
        std::uint64_t watchedRevision { 0 };
        bool isListed { true };
        std::size_t lastUpCount { 0 };
        bool isLeaving { false };
    };

    struct InFlight {
        base::TimePoint at;
        std::size_t from;
        std::string to;
        FleetMessage message;
    };

    static constexpr std::chrono::milliseconds Step { 20 };

    void step();
    void send(std::size_t from, std::vector<FleetOutgoing>&&);
    void deliver();
    void watchService(std::size_t node);
    void check();
    void checkDeaths(std::size_t node);
    void updateListed();
    bool isPaused(std::size_t node) const { return nodes_[node].pausedUntil > now_; }
    bool arePartitioned(std::size_t left, std::size_t right) const;
    std::string poolsText() const;

    SimulationSettings settings_;
    std::mt19937_64 random_;
    base::TimePoint now_ { std::chrono::hours(1) };
    std::vector<Node> nodes_;
    std::map<std::string, std::size_t> byEndpoint_;
    std::multimap<base::TimePoint, InFlight> inFlight_;
    std::set<std::size_t> group_;
    std::vector<std::string> upstreamNames_;
    std::string marker_;
    std::uint64_t published_ { 0 };
    std::uint64_t visibleRevision_ { 0 };
    bool isServiceDown_ { false };
};

} // namespace flamingousher::fleet::tests
