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

// Maps section names to their sorted "key = value" lines.
using Sections = std::map<std::string, std::string>;

// Both tables in canonical form, which is identical for all equivalent texts.
struct CanonicalTables {
    Sections routes;
    Sections pools;

    bool operator==(const CanonicalTables&) const = default;
};

// Difference between two revisions.
struct TablesDelta {
    std::uint64_t from { 0 }; // 0: empty tables
    std::uint64_t to { 0 };
    std::uint64_t digest { 0 }; // of the resulting tables
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
    Refused, // the tables are invalid
    Mismatch, // wrong base or digest: request a delta from the current revision
};

// Holds the newest accepted configuration and its recent history of deltas. The revision never decreases.
class ConfigurationStore {
public:
    // Applies a revision published by the configuration service.
    ApplyResult applyPublished(std::uint64_t revision, const std::string& routes, const std::string& pools);

    // Applies a delta from another node.
    ApplyResult applyDelta(const TablesDelta&);

    // Returns the delta from the given configuration to the newest one, or the full tables if the history does not
    // reach back far enough. Empty if the given configuration is not older.
    std::optional<TablesDelta> deltaFrom(const ConfigurationId& base) const;

    ConfigurationId id() const { return id_; }
    std::shared_ptr<const tables::Tables> tables() const { return tables_; }
    const std::optional<RefusedRevision>& refused() const { return refused_; }

private:
    struct Change {
        ConfigurationId before;
        TablesDelta delta;
    };

    ApplyResult accept(std::uint64_t revision, CanonicalTables);

    CanonicalTables current_;
    ConfigurationId id_;
    std::shared_ptr<const tables::Tables> tables_;
    std::deque<Change> history_; // oldest first
    std::optional<RefusedRevision> refused_;
};

// Returns a one-line error if the text is not valid INI or contains a duplicate section.
tl::expected<Sections, std::string> parseSections(const std::string& text);
std::string toText(const Sections&);
std::uint64_t digestOf(const CanonicalTables&);
TablesDelta makeDelta(const CanonicalTables& before, const CanonicalTables& after);

} // namespace flamingousher::fleet
