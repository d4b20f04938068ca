#pragma once

#include "base/types.h"

#include <fstream>
#include <string>

namespace flamingousher::review {

using base::TimePoint;

// Writes what happens, one line an event, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);
    double elapsedMs() const;

private:
    std::ofstream file_;
    TimePoint begin_;
};

} // namespace flamingousher::review
