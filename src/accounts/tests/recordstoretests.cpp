#include "accounts/recordstore.h"

#include <criterion/criterion.h>

using namespace flamingousher::accounts;

Test(RecordStore, evictsOldestRecordWhenFull)
{
    RecordStore store(2);
    for (const char* id : { "a", "b", "c" })
        store.add({ .requestId = id });
    cr_expect_eq(store.size(), 2u);
    cr_expect_not(store.find("a").has_value());
    cr_expect_eq(store.find("c")->requestId, "c");
}

Test(RecordStore, replacesRecordOfSameRequest)
{
    RecordStore store(2);
    store.add({ .requestId = "a", .outcome = "slow" });
    store.add({ .requestId = "a", .outcome = "partial" });
    cr_expect_eq(store.size(), 1u);
    cr_expect_eq(store.find("a")->outcome, "partial");
}

Test(RequestRecord, writesTimelineAsJson)
{
    const RequestRecord record { .requestId = "a",
        .events = { { EventKind::Sent, std::chrono::milliseconds(2), 3, "u", "" } } };
    const std::string json = toJson(record);
    cr_expect_neq(json.find(R"("event":"sent","upstream":"u","shard":3)"), std::string::npos, "%s", json.c_str());
}
