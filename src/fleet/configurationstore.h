#pragma once

#include "fleet/types.h"
#include "tables/types.h"

#include <tl/expected.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::fleet {

// Sections of a table by their name, each with its "key = value" lines sorted.
using Sections = std::map<std::string, std::string>;

// Both tables in canonical form: the same for every text that means the same.
struct CanonicalTables {
    Sections routes;
    Sections pools;

    bool operator==(const CanonicalTables&) const = default;
};

// What leads from one revision to a later one.
struct TablesDelta {
    std::uint64_t from { 0 }; // 0: from empty tables
    std::uint64_t to { 0 };
    std::uint64_t digest { 0 }; // of the result
    Sections changedRoutes; // added or replaced
    Sections changedPools;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedPools;

    bool operator==(const TablesDelta&) const = default;
};

struct RefusedRevision {
    std::uint64_t revision { 0 };
    std::vector<std::string> faults;

    bool operator==(const RefusedRevision&) const = default;
};

enum class ApplyResult : std::uint8_t {
    Applied,
    AlreadyKnown,
    Refused, // by the tables' validation
    Mismatch, // the delta does not fit: ask again from the revision held
};

// Holds the newest accepted configuration and the differences that led to it. A revision never goes back.
class ConfigurationStore {
public:
    // Takes an edit as the configuration service published it.
    ApplyResult applyPublished(std::uint64_t revision, const std::string& routes, const std::string& pools);

    // Takes a difference from another node.
    ApplyResult applyDelta(const TablesDelta&);

    // The difference from a revision held elsewhere to the newest, as small as is known.
    std::optional<TablesDelta> deltaFrom(const ConfigurationId& current) const;

    ConfigurationId id() const { return id_; }
    std::shared_ptr<const tables::Tables> tables() const { return tables_; }
    const std::optional<RefusedRevision>& refused() const { return refused_; }

private:
    struct Step {
        ConfigurationId before;
        TablesDelta delta;
    };

    ApplyResult accept(std::uint64_t revision, CanonicalTables);

    CanonicalTables current_;
    ConfigurationId id_;
    std::shared_ptr<const tables::Tables> tables_;
    std::deque<Step> steps_; // oldest first
    std::optional<RefusedRevision> refused_;
};

// Fails with one line when the text is not INI or a section stands twice.
tl::expected<Sections, std::string> toSections(const std::string& text);
std::string toText(const Sections&);
std::uint64_t digestOf(const CanonicalTables&);
TablesDelta makeDelta(const CanonicalTables& before, const CanonicalTables& after);

} // namespace flamingousher::fleet
