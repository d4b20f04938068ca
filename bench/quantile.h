#pragma once

#include <vector>

namespace flamingousher {

// Returns the quantile of sorted values for a fraction in [0, 1]; 0 if there are no values.
inline double quantile(const std::vector<double>& sorted, double fraction)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

} // namespace flamingousher
