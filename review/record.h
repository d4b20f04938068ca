#pragma once

#include "base/types.h"

#include <fstream>
#include <string>

namespace flamingousher::review {

// The file that tells what was sent, answered and run. Each line begins with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);
    std::int64_t milliseconds(base::TimePoint) const;

private:
    base::TimePoint start_;
    std::ofstream file_;
};

} // namespace flamingousher::review
