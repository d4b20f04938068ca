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

// Reads typed values from one INI section and records a fault for each missing or invalid value.
class SectionReader {
public:
    SectionReader(const std::string& table, const IniSection& section, std::vector<Fault>& faults);

    std::string text(const std::string& key, const std::optional<std::string>& fallback = std::nullopt);
    std::uint64_t integer(const std::string& key, std::uint64_t min, std::uint64_t max,
        const std::optional<std::uint64_t>& fallback = std::nullopt);
    double fraction(const std::string& key, double fallback);

    // Accepts decimal and exponent notation, such as 33.3 or 5.5e3.
    double number(const std::string& key, double min, double max, double fallback);
    bool flag(const std::string& key, bool fallback);

    // Records a fault for each key that has not been read.
    void rejectUnknownKeys();

    void addFault(const std::string& key, const std::string& message);

private:
    const std::string* find(const std::string& key);

    std::string table_;
    const IniSection& section_;
    std::vector<Fault>& faults_;
    std::set<std::string> readKeys_;
};

} // namespace flamingousher::tables
