#include "second/record.h"

#include <cstdio>

namespace flamingousher::review {

Record::Record(const std::string& path)
    : file_(path)
    , begin_(std::chrono::steady_clock::now())
{
}

double Record::elapsedMs() const
{
    return base::toMilliseconds(std::chrono::steady_clock::now() - begin_);
}

void Record::write(const std::string& line)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%9.1f ", elapsedMs());
    file_ << time << line << '\n' << std::flush;
}

} // namespace flamingousher::review
