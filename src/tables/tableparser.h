#pragma once

#include "tables/types.h"

#include <tl/expected.hpp>

#include <string_view>
#include <vector>

namespace flamingousher::tables {

// Parses and validates one edit of both tables. Depends on the arguments alone, so that every process accepts or
// rejects the same text alike. On rejection returns all faults, sorted.
tl::expected<Tables, std::vector<Fault>> parseTables(Revision, std::string_view routesText, std::string_view poolsText);

} // namespace flamingousher::tables
