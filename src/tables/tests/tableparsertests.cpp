#include "tables/tablediff.h"
#include "tables/tableparser.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace flamingousher::tables;

namespace {

std::string readFile(const std::string& name)
{
    std::ifstream file(std::string(TEST_DATA_DIR) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t position = text.find(from);
    return position == std::string::npos ? text : text.replace(position, from.size(), to);
}

bool hasFault(const std::vector<Fault>& faults, const std::string& section, const std::string& key)
{
    return std::ranges::any_of(
        faults, [&](const Fault& fault) { return fault.section == section && fault.key == key; });
}

// Replaces the first match in each sample table, parses both and returns the faults.
std::vector<Fault> faultsAfter(const std::string& from, const std::string& to)
{
    const auto parsed
        = parseTables(1, replaceFirst(readFile("routes.ini"), from, to), replaceFirst(readFile("pools.ini"), from, to));
    return parsed ? std::vector<Fault> {} : parsed.error();
}

} // namespace

Test(TableParser, acceptsSampleTables)
{
    const auto tables = parseTables(7, readFile("routes.ini"), readFile("pools.ini"));
    cr_assert(tables.has_value());
    cr_expect_eq(tables->revision, 7u);
    cr_expect_eq(tables->pool("slings")->upstreams.size(), 2u);
    cr_expect_eq(tables->routeFor("GET", "/slings/ring")->name, "find-slings");
    cr_expect_null(tables->routeFor("POST", "/slings"));
}

Test(TableParser, rejectsRouteToUnknownPool)
{
    cr_expect(hasFault(faultsAfter("pool = ledger\nrank", "pool = nowhere\nrank"), "route reserve", "pool"));
}

Test(TableParser, rejectsDuplicateUpstreamAddress)
{
    cr_expect(hasFault(faultsAfter("port = 9001", "port = 9000"), "upstream slings-1", "address"));
}

Test(TableParser, rejectsZeroTarget)
{
    cr_expect(hasFault(faultsAfter("target_ms = 86", "target_ms = 0"), "route find-slings", "target_ms"));
}

Test(TableParser, rejectsRoutesWithSameMethodAndPath)
{
    const std::string routes = readFile("routes.ini")
        + "\n[route again]\nmethod = GET\npath = /slings\npool = slings\n"
          "rank = normal\ntarget_ms = 50\n";
    const auto parsed = parseTables(1, routes, readFile("pools.ini"));
    cr_assert(!parsed.has_value());
    cr_expect(hasFault(parsed.error(), "route find-slings", "path"));
}

Test(TableParser, rejectsPoolSharesAboveOne)
{
    const std::string routes = readFile("routes.ini")
        + "\n[route again]\nmethod = GET\npath = /all\npool = slings\n"
          "rank = normal\ntarget_ms = 50\nshare = 0.5\n";
    const auto parsed = parseTables(1, routes, readFile("pools.ini"));
    cr_assert(!parsed.has_value());
    cr_expect(hasFault(parsed.error(), "", "share"));
}

Test(TableParser, rejectsShardWithoutUpstream)
{
    cr_expect(hasFault(faultsAfter("shards = 2", "shards = 3"), "pool slings", "shards"));
}

Test(TableParser, rejectsNonIdempotentSearch)
{
    cr_expect(hasFault(faultsAfter("least_coverage = 0.5", "least_coverage = 0.5\nidempotent = no"),
        "route find-slings", "idempotent"));
}

Test(TableParser, rejectsUnknownKeyAndHostName)
{
    cr_expect(hasFault(faultsAfter("zone = a", "zone = a\ncolour = red"), "upstream slings-0", "colour"));
    cr_expect(hasFault(faultsAfter("address = 127.0.0.1", "address = localhost"), "upstream slings-0", "address"));
}

Test(TableParser, rejectsOversizedValue)
{
    const auto parsed = parseTables(1, std::string(MaximumTableBytes + 1, ';'), readFile("pools.ini"));
    cr_assert(!parsed.has_value());
    cr_expect(hasFault(parsed.error(), "", ""));
}

Test(TableParser, reportsAllFaultsOfBothTables)
{
    const std::string routes = replaceFirst(readFile("routes.ini"), "target_ms = 86", "target_ms = 0");
    const std::string pools = replaceFirst(readFile("pools.ini"), "slots = 6", "slots = 0");
    const auto parsed = parseTables(1, routes, pools);
    cr_assert(!parsed.has_value());
    cr_expect(hasFault(parsed.error(), "route find-slings", "target_ms"));
    cr_expect(hasFault(parsed.error(), "upstream ledger-0", "slots"));
}

Test(TableDiff, listsRemovedAndChangedItems)
{
    const Tables before = *parseTables(1, readFile("routes.ini"), readFile("pools.ini"));
    Tables after = before;
    after.routes[0].target = std::chrono::milliseconds(99);
    after.pools[1].upstreams.pop_back();
    const std::vector<std::string> expected { "~ route find-slings", "- upstream slings-1" };
    cr_expect(describeChanges(before, after) == expected);
}
