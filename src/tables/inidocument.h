#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingousher::tables {

struct IniSection {
    std::string name;
    std::vector<std::pair<std::string, std::string>> entries;
};

struct IniDocument {
    std::vector<IniSection> sections;
};

// Parses INI text. The error is a one-line message with the line number.
tl::expected<IniDocument, std::string> parseIni(std::string_view text);

} // namespace flamingousher::tables
