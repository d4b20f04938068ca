#include "tables/sectionreader.h"

#include <array>

namespace flamingousher::tables {

namespace {

    std::string toText(double number)
    {
        std::array<char, 32> text {};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
        return { text.data(), end };
    }

} // namespace

SectionReader::SectionReader(const std::string& table, const IniSection& section, std::vector<Fault>& faults)
    : table_(table)
    , section_(section)
    , faults_(faults)
{
}

const std::string* SectionReader::find(const std::string& key)
{
    readKeys_.insert(key);
    for (const auto& [name, value] : section_.entries) {
        if (name == key)
            return &value;
    }
    return nullptr;
}

std::string SectionReader::text(const std::string& key, const std::optional<std::string>& fallback)
{
    const std::string* value = find(key);
    if (value && !value->empty())
        return *value;
    if (!fallback)
        addFault(key, "is missing");
    return fallback.value_or(std::string());
}

std::uint64_t SectionReader::integer(
    const std::string& key, std::uint64_t min, std::uint64_t max, const std::optional<std::uint64_t>& fallback)
{
    const std::string* value = find(key);
    if (!value && fallback)
        return *fallback;
    if (!value) {
        addFault(key, "is missing");
        return min;
    }
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    if (error != std::errc() || end != value->data() + value->size()) {
        addFault(key, "'" + *value + "' is not an integer");
        return min;
    }
    if (number < min || number > max) {
        addFault(key, *value + " is not between " + std::to_string(min) + " and " + std::to_string(max));
        return min;
    }
    return number;
}

double SectionReader::fraction(const std::string& key, double fallback)
{
    return number(key, 0, 1, fallback);
}

double SectionReader::number(const std::string& key, double min, double max, double fallback)
{
    const std::string* value = find(key);
    if (!value || value->empty())
        return fallback;
    double number = 0;
    const auto [end, error] = std::from_chars(value->data(), value->data() + value->size(), number);
    if (error != std::errc() || end != value->data() + value->size() || !(number >= min && number <= max)) {
        addFault(key, "'" + *value + "' is not a number between " + toText(min) + " and " + toText(max));
        return fallback;
    }
    return number;
}

bool SectionReader::flag(const std::string& key, bool fallback)
{
    const std::string* value = find(key);
    if (!value)
        return fallback;
    if (*value == "yes")
        return true;
    if (*value != "no")
        addFault(key, "'" + *value + "' is neither yes nor no");
    return false;
}

void SectionReader::rejectUnknownKeys()
{
    for (const auto& [key, value] : section_.entries) {
        if (!readKeys_.contains(key))
            addFault(key, "is not a known key");
    }
}

void SectionReader::addFault(const std::string& key, const std::string& message)
{
    faults_.push_back({ table_, section_.name, key, message });
}

} // namespace flamingousher::tables
