#include "review/record.h"

#include <stdexcept>

namespace flamingousher::review {

Record::Record(const std::string& path)
    : start_(std::chrono::steady_clock::now())
    , file_(path)
{
    if (!file_)
        throw std::runtime_error("cannot write " + path);
}

std::int64_t Record::milliseconds(base::TimePoint at) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at - start_).count();
}

void Record::write(const std::string& line)
{
    file_ << milliseconds(std::chrono::steady_clock::now()) << ' ' << line << '\n';
    file_.flush();
}

} // namespace flamingousher::review
