#pragma once

#include "routing/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::configcheck {

enum class Severity : std::uint8_t {
    Error, // the configuration cannot do what it says
    Warning, // it can, but hardly what is meant
};

std::string_view toString(Severity);

struct Finding {
    Severity severity { Severity::Error };
    std::string place; // such as "route find-slings"
    std::string message;

    bool operator==(const Finding&) const = default;
};

// What is known of the deployment. What is not known is not checked.
struct Surroundings {
    std::optional<std::map<std::string, std::set<std::string>>> zonesByService; // availability zones of the upstreams
    std::map<std::string, std::string> regions; // region of each availability zone
    std::optional<double> memoryBytes; // of a VM

    bool operator==(const Surroundings&) const = default;
};

// Returns the faults of a configuration before it is sent: what cannot work, what can never match, and limits that
// contradict each other. Performs no I/O.
std::vector<Finding> checkConfiguration(const routing::Configuration&, const Surroundings&);

// Returns what differs from the configuration in force, one line a difference.
std::vector<std::string> describeChanges(const routing::Configuration& inForce, const routing::Configuration& next);

} // namespace flamingousher::configcheck
