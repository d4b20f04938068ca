#include "fleet/configurationstore.h"

#include <criterion/criterion.h>

using namespace flamingousher::fleet;

namespace {

std::string routes(int target)
{
    return "[route find]\nmethod = GET\npath = /\npool = p\nrank = urgent\ntarget_ms = " + std::to_string(target)
        + "\n";
}

std::string pools(int upstreams)
{
    std::string text = "[pool p]\nkind = search\n";
    for (int index = 0; index < upstreams; ++index)
        text += "[upstream u" + std::to_string(index) + "]\npool = p\naddress = 10.0.0.1\nport = "
            + std::to_string(100 + index) + "\nzone = a\nslots = 2\nconnections = 9\n";
    return text;
}

} // namespace

Test(ConfigurationStore, ignoresOlderRevisions)
{
    ConfigurationStore store;
    cr_expect_eq(store.applyPublished(5, routes(86), pools(2)), ApplyResult::Applied);
    cr_expect_eq(store.applyPublished(4, routes(99), pools(2)), ApplyResult::AlreadyKnown);
    cr_expect_eq(store.applyPublished(5, routes(99), pools(2)), ApplyResult::AlreadyKnown);
    cr_expect_eq(store.tables()->routes[0].target.count(), 86);
}

Test(ConfigurationStore, keepsCurrentTablesWhenAnEditIsInvalid)
{
    ConfigurationStore store;
    store.applyPublished(5, routes(86), pools(2));
    cr_expect_eq(store.applyPublished(6, routes(0), pools(2)), ApplyResult::Refused);
    cr_expect_eq(store.id().revision, 5u);
    cr_expect_eq(store.refused()->revision, 6u);
    cr_expect_eq(store.applyPublished(7, routes(90), pools(2)), ApplyResult::Applied);
}

Test(ConfigurationStore, appliesDeltasFromAnotherNode)
{
    ConfigurationStore source;
    ConfigurationStore follower;
    source.applyPublished(1, routes(86), pools(50));
    cr_expect_eq(follower.applyDelta(*source.deltaFrom(follower.id())), ApplyResult::Applied);
    source.applyPublished(2, routes(87), pools(50));
    source.applyPublished(4, routes(87), pools(49));
    const TablesDelta delta = *source.deltaFrom(follower.id());
    cr_expect_eq(delta.changedPools.size(), 0u);
    cr_expect_eq(delta.removedPools.size(), 1u);
    cr_expect_eq(follower.applyDelta(delta), ApplyResult::Applied);
    cr_expect_eq(follower.id(), source.id());
    cr_expect(*follower.tables() == *source.tables());
}

Test(ConfigurationStore, rejectsADeltaWithAWrongBaseOrDigest)
{
    ConfigurationStore source;
    ConfigurationStore other;
    source.applyPublished(1, routes(86), pools(2));
    other.applyPublished(2, routes(50), pools(3));
    source.applyPublished(3, routes(87), pools(2));
    TablesDelta delta = *source.deltaFrom({ 1, digestOf({ *parseSections(routes(86)), *parseSections(pools(2)) }) });
    cr_expect_eq(other.applyDelta(delta), ApplyResult::Mismatch);
    delta.from = 2;
    cr_expect_eq(other.applyDelta(delta), ApplyResult::Mismatch, "the digest does not match");
    cr_expect_eq(other.applyDelta(*source.deltaFrom(other.id())), ApplyResult::Applied, "full tables");
}

Test(ConfigurationStore, treatsARollbackAsANewRevision)
{
    ConfigurationStore store;
    store.applyPublished(1, routes(86), pools(2));
    const auto first = store.id().digest;
    store.applyPublished(2, routes(87), pools(2));
    cr_expect_eq(store.applyPublished(3, routes(86), pools(2)), ApplyResult::Applied);
    cr_expect_eq(store.id().digest, first);
    cr_expect_eq(store.id().revision, 3u);
}

Test(ConfigurationStore, normalizesEquivalentTables)
{
    cr_expect(
        *parseSections("[b]\nx = 1\ny = 2\n[a]\nz=3\n") == *parseSections("; note\n[a]\nz = 3\n\n[b]\ny = 2\nx = 1\n"));
}
