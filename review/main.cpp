// Runs one case of the review: starts VMs of the product as processes against stand-ins. Exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.

#include "review/cases.h"
#include "runtime/fiberthread.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <map>

DEFINE_string(name, "", "route-removal, garbled-answer or unmarked-refusal.");
DEFINE_string(daemon, "", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for the settings and logs of the VMs.");
DEFINE_string(record, "", "File that tells what was sent, answered and run.");
DEFINE_uint32(slot, 0, "First slot of loopback addresses that is tried.");
DEFINE_bool(trouble, true, "False: without the disruption.");

int main(int argc, char** argv)
{
    using namespace flamingousher;
    using review::Verdict;
    gflags::SetUsageMessage("Runs one case of the review.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, Verdict (*)(review::World&, bool)> cases { { "route-removal", review::runRouteRemoval },
        { "garbled-answer", review::runGarbledAnswer }, { "unmarked-refusal", review::runUnmarkedRefusal } };
    const auto found = cases.find(FLAGS_name);
    if (found == cases.end())
        return static_cast<int>(Verdict::NotRun);
    runtime::FiberThread thread("review");
    const Verdict verdict = thread.call([&] {
        try {
            auto* record = new review::Record(FLAGS_record); // fibers use these until this process exits
            auto* world = new review::World(thread.io(), *record,
                { FLAGS_daemon, FLAGS_folder, review::findFreeSlot(thread.io(), FLAGS_slot), FLAGS_trouble });
            const Verdict seen = found->second(*world, FLAGS_trouble);
            world->stop();
            record->write("verdict " + std::to_string(static_cast<int>(seen)));
            return seen;
        } catch (const std::exception& exception) {
            std::fprintf(stderr, "%s\n", exception.what());
            return Verdict::NotRun;
        }
    });
    std::_Exit(static_cast<int>(verdict));
}
