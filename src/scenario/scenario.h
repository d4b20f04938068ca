#pragma once

#include "scenario/types.h"

#include <string>
#include <vector>

namespace flamingousher::scenario {

// Runs the decision cores of several VMs against small fakes of upstreams and links, in virtual time and by a
// seed, and returns the history.
History run(const Settings&);

// Checks a history against what must always hold. Returns one line for each violation.
std::vector<std::string> check(const Settings&, const History&);

// Settings of a run with every kind of fault, drawn from the seed.
Settings makeFaultySettings(std::uint64_t seed);

} // namespace flamingousher::scenario
