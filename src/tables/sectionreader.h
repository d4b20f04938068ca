#pragma once

#include "tables/inidocument.h"
#include "tables/types.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingousher::tables {

// Reads typed values out of one INI section and collects a fault for each value that is missing or wrong.
class SectionReader {
public:
    SectionReader(const std::string& table, const IniSection& section, std::vector<Fault>& faults);

    std::string text(const std::string& key, const std::optional<std::string>& fallback = std::nullopt);
    std::uint64_t integer(const std::string& key, std::uint64_t least, std::uint64_t most,
        const std::optional<std::uint64_t>& fallback = std::nullopt);
    double fraction(const std::string& key, double fallback);
    bool flag(const std::string& key, bool fallback);

    // Reports each key that no call has asked for.
    void rejectUnknownKeys();

    void addFault(const std::string& key, const std::string& message);

private:
    const std::string* find(const std::string& key);

    std::string table_;
    const IniSection& section_;
    std::vector<Fault>& faults_;
    std::set<std::string> known_;
};

} // namespace flamingousher::tables
