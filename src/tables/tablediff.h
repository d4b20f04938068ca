#pragma once

#include "tables/types.h"

#include <string>
#include <vector>

namespace flamingousher::tables {

// Describes what an edit changes, one line for each added, removed or changed route, pool or upstream.
std::vector<std::string> describeChanges(const Tables& before, const Tables& after);

} // namespace flamingousher::tables
