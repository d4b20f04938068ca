#pragma once

#include "scenario/types.h"

#include <string>
#include <vector>

namespace flamingousher::scenario {

// Simulates several VMs with their real decision logic against fake upstreams and links, in virtual time and
// reproducibly for a seed. Returns the recorded history.
History run(const Settings&);

// Checks a history against the invariants of the product. Returns one line per violation.
std::vector<std::string> check(const Settings&, const History&);

// Returns settings with random faults of every kind, determined by the seed.
Settings makeFaultySettings(std::uint64_t seed);

} // namespace flamingousher::scenario
