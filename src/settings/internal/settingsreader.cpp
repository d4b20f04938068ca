#include "settings/internal/settingsreader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace flamingousher::settings {

using tables::Fault;
using tables::IniSection;
using tables::SectionReader;

namespace {

    constexpr std::size_t MinKeyLength = 16;

} // namespace

SettingsReader::SettingsReader(const std::string& file, const tables::IniDocument& document)
    : file_(file)
    , document_(document)
{
}

IniSection SettingsReader::find(const std::string& name) const
{
    const auto found = std::ranges::find(document_.sections, name, &IniSection::name);
    return found == document_.sections.end() ? IniSection { name, {} } : *found;
}

void SettingsReader::addFault(const std::string& section, const std::string& key, const std::string& message)
{
    faults_.push_back({ file_, section, key, message });
}

std::vector<Fault> SettingsReader::finish()
{
    for (const IniSection& section : document_.sections) {
        if (std::ranges::find(readSections_, section.name) == readSections_.end())
            faults_.push_back({ file_, section.name, {}, "is not a known section" });
    }
    return faults_;
}

std::optional<http::Endpoint> readOptionalEndpoint(SectionReader& reader, const std::string& key)
{
    if (reader.text(key, std::string()).empty())
        return std::nullopt;
    return readEndpoint(reader, key);
}

http::Endpoint readEndpoint(SectionReader& reader, const std::string& key)
{
    const std::string text = reader.text(key);
    const auto endpoint = http::parseEndpoint(text);
    if (endpoint)
        return *endpoint;
    if (!text.empty())
        reader.addFault(key, endpoint.error());
    return {};
}

std::string readChoice(
    SectionReader& reader, const std::string& key, const std::vector<std::string>& choices, const std::string& fallback)
{
    std::string value = reader.text(key, fallback);
    if (std::ranges::find(choices, value) == choices.end())
        reader.addFault(key, "'" + value + "' is not one of the known values");
    return value;
}

std::string readPeerKey(SectionReader& reader)
{
    std::string key = reader.text("key");
    if (!key.empty() && key.size() < MinKeyLength)
        reader.addFault("key", "is shorter than " + std::to_string(MinKeyLength) + " characters");
    return key;
}

tl::expected<std::string, std::vector<std::string>> readFile(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return tl::unexpected(std::vector<std::string> { file + ": cannot be read" });
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace flamingousher::settings
