#pragma once

#include <vector>

namespace flamingousher {

// The value below which the fraction of the sorted values lies, 0 without values.
inline double quantile(const std::vector<double>& sorted, double fraction)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

} // namespace flamingousher
