#include "ctl/commands.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>

DEFINE_string(operators, "127.0.0.1:8090", "Operators' ports, address:port separated by commas.");
DEFINE_bool(json, false, "Print JSON.");
DEFINE_uint64(wait, 0, "With 'config status': wait until this revision is in force on every node.");
DEFINE_uint32(timeout_ms, 5000, "Time limit of a call and of --wait.");
DEFINE_uint32(rounds, 0, "With 'top': seconds to show; 0 until interrupted.");
DEFINE_string(in_force, "", "With 'check-config': file with the configuration in force.");
DEFINE_string(vm_settings, "", "With 'check-config': settings file of a VM, for its memory and regions.");
DEFINE_string(platform, "127.0.0.1:7000", "With 'publish': address:port of a configuration service stand-in.");

namespace {

using namespace flamingousher::ctl;

constexpr const char* Usage = R"(flamingousherctl - inspects and configures a fleet of flamingousherd

Usage: flamingousherctl [options] COMMAND

Tables, without a running process:
  check ROUTES POOLS                        validate both tables and list all faults
  diff ROUTES POOLS NEW_ROUTES NEW_POOLS    list what an edit would change
Configurations for a metadata store:
  check-config FILE                         list faults, and what differs from the version in force
Running processes:
  state                                     dump the state of each process
  top                                       show requests per second by rank and outcome
  explain REQUEST-ID                        print the timeline of a slow, partial or refused answer
  config status                             show the configuration in force on each node
  peers                                     show the fleet as each node sees it
For tests and demonstrations:
  publish ROUTES POOLS                      check the tables and write them to a configuration service stand-in

Options:
  --operators A:P,A:P   operators' ports to query (default 127.0.0.1:8090)
  --json                print JSON
  --wait REVISION       config status: wait until the revision is in force on every queried node
  --timeout_ms N        time limit of a call and of --wait (default 5000)
  --rounds N            top: seconds to show (default 0: until interrupted)
  --in_force FILE       check-config: compare with this file; without it, if --operators is given, with what the first
                        process that answers has in force, and check its upstreams
  --vm_settings FILE    check-config: settings of a VM, for its memory and regions
  --platform A:P        publish: where to write (default 127.0.0.1:7000)
  --help, --version     print this text or the version

Exit codes: 0 done, 1 the answer is no (faults, not found, not in force), 2 wrong arguments, 3 unreachable.
)";

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

ExitCode run(const std::vector<std::string>& arguments, const Options& options)
{
    const std::string command = arguments.empty() ? std::string() : arguments[0];
    if (command == "check" && arguments.size() == 3)
        return checkTables(arguments[1], arguments[2]);
    if (command == "diff" && arguments.size() == 5)
        return diffTables({ arguments.begin() + 1, arguments.end() });
    if (command == "check-config" && arguments.size() == 2) {
        const bool asksOperators = !gflags::GetCommandLineFlagInfoOrDie("operators").is_default;
        return checkStoreConfiguration(options, arguments[1], FLAGS_in_force, FLAGS_vm_settings, asksOperators);
    }
    if (command == "state" && arguments.size() == 1)
        return showState(options);
    if (command == "top" && arguments.size() == 1)
        return showTop(options);
    if (command == "peers" && arguments.size() == 1)
        return showPeers(options);
    if (command == "explain" && arguments.size() == 2)
        return explainRequest(options, arguments[1]);
    if (command == "config" && arguments.size() == 2 && arguments[1] == "status")
        return showConfiguration(options);
    if (command == "publish" && arguments.size() == 3)
        return publishTables(options, FLAGS_platform, arguments[1], arguments[2]);
    std::fputs(Usage, stderr);
    return ExitCode::Usage;
}

} // namespace

int main(int argc, char** argv)
{
    for (int index = 1; index < argc; ++index) {
        if (std::strcmp(argv[index], "--help") == 0) {
            std::fputs(Usage, stdout);
            return 0;
        }
    }
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const Options options { split(FLAGS_operators), FLAGS_json, FLAGS_wait, FLAGS_timeout_ms, FLAGS_rounds };
    const ExitCode code = run({ argv + 1, argv + argc }, options);
    std::fflush(nullptr);
    std::_Exit(static_cast<int>(code));
}
