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
DEFINE_string(platform, "127.0.0.1:7000", "With 'publish': address:port of a configuration service stand-in.");

namespace {

using namespace flamingousher::ctl;

constexpr const char* Usage = R"(flamingousherctl - looks after a fleet of flamingousherd

Usage: flamingousherctl [options] COMMAND

Tables, without a running process:
  check ROUTES POOLS                        say whether the two tables would be accepted, with every fault
  diff ROUTES POOLS NEW_ROUTES NEW_POOLS    say what an edit would change
Running processes:
  state                                     dump the state of each process
  top                                       show requests per second by rank and outcome
  explain REQUEST-ID                        print the timeline of a slow, partial or refused answer
  config status                             show the configuration in force on each node
  peers                                     show the fleet as each node sees it
For tests and demonstrations:
  publish ROUTES POOLS                      check the tables and write them to a configuration service stand-in

Options:
  --operators A:P,A:P   operators' ports to ask (default 127.0.0.1:8090)
  --json                print JSON
  --wait REVISION       config status: wait until the revision is in force on every node asked
  --timeout_ms N        time limit of a call and of --wait (default 5000)
  --rounds N            top: seconds to show (default 0: until interrupted)
  --platform A:P        publish: where to write (default 127.0.0.1:7000)
  --help, --version     print this text or the version

Exit codes: 0 done, 1 the answer is no (faults, not found, not in force), 2 wrong arguments, 3 unreachable.
)";

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

ExitCode run(const std::vector<std::string>& words, const Options& options)
{
    const std::string command = words.empty() ? std::string() : words[0];
    if (command == "check" && words.size() == 3)
        return checkTables(words[1], words[2]);
    if (command == "diff" && words.size() == 5)
        return diffTables({ words.begin() + 1, words.end() });
    if (command == "state" && words.size() == 1)
        return showState(options);
    if (command == "top" && words.size() == 1)
        return showTop(options);
    if (command == "peers" && words.size() == 1)
        return showPeers(options);
    if (command == "explain" && words.size() == 2)
        return explainRequest(options, words[1]);
    if (command == "config" && words.size() == 2 && words[1] == "status")
        return showConfiguration(options);
    if (command == "publish" && words.size() == 3)
        return publishTables(options, FLAGS_platform, words[1], words[2]);
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
