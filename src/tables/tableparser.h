#pragma once

#include "tables/types.h"

#include <tl/expected.hpp>

#include <string_view>
#include <vector>

namespace flamingousher::tables {

// Parses and validates one edit of both tables. Pure and deterministic: every process that is
// given the same bytes reaches the same verdict. On rejection, returns every fault, sorted.
tl::expected<Tables, std::vector<Fault>> parseTables(Revision, std::string_view routesText, std::string_view poolsText);

} // namespace flamingousher::tables
