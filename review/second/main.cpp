// Plays one case of the review: VMs as processes, with stand-ins around them. Exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.

#include "runtime/fiberthread.h"
#include "second/cases.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <map>

DEFINE_string(daemon, "target/src/daemon/flamingousherd", "Path of flamingousherd.");
DEFINE_string(folder, "", "Folder for settings and logs.");
DEFINE_string(record, "record.txt", "File for what was sent, answered and run.");
DEFINE_bool(trouble, true, "Bring about the disruption.");

int main(int argc, char** argv)
{
    using namespace flamingousher;
    gflags::SetUsageMessage("Plays one case: flamingousher-review-second CASE --folder FOLDER");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, review::Case> cases = review::makeCases();
    const auto found = argc == 2 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end() || FLAGS_folder.empty()) {
        std::fprintf(stderr, "name a case and a folder\n");
        return 2;
    }
    review::Record record(FLAGS_record);
    runtime::FiberThread thread("case");
    int result = 2;
    thread.call([&] {
        try {
            const bool isBroken = found->second({ thread.io(), FLAGS_daemon, FLAGS_folder, FLAGS_trouble, record });
            result = isBroken ? 1 : 0;
        } catch (const std::exception& exception) {
            record.write(std::string("the case could not run: ") + exception.what());
        }
    });
    record.write(result == 1 ? "the rule was broken" : result == 0 ? "the rule held" : "no result");
    std::printf("%s\n", result == 1 ? "broken" : result == 0 ? "held" : "could not run");
    std::fflush(nullptr);
    // Fibers still use what they refer to.
    std::_Exit(result);
}
