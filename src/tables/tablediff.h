#pragma once

#include "tables/types.h"

#include <string>
#include <vector>

namespace flamingousher::tables {

// Returns one line for each route, pool or upstream that is added (+), removed (-) or changed (~).
std::vector<std::string> describeChanges(const Tables& before, const Tables& after);

} // namespace flamingousher::tables
