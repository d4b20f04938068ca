#pragma once

#include "review/caller.h"

#include <optional>
#include <string>

namespace flamingousher::review {

// Returns how a success to a request for a single service breaks the rule MIXED, or nothing.
std::optional<std::string> findForeignSuccess(const World&, const Outcome&);

// Returns how often the request has run, at all searchers together.
std::size_t countRuns(const World&, const std::string& requestId);

} // namespace flamingousher::review
