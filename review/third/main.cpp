// Runs one case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
// usage: cases NAME FOLDER; TROUBLE=0 in the environment leaves out the disruption.

#include "cases.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

#include <signal.h>

int main(int argc, char** argv)
{
    using namespace review;
    ::signal(SIGPIPE, SIG_IGN);
    if (argc != 3) {
        std::fprintf(stderr, "usage: cases NAME FOLDER\n");
        return ExitCannotRun;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string_view(trouble) != "0";
    int result = ExitCannotRun;
    try {
        Record record(std::string(argv[2]) + "/record.txt");
        for (const Case& entry : allCases()) {
            if (std::string_view(argv[1]) == entry.name)
                result = entry.run(record, hasTrouble);
        }
        record.write("exit " + std::to_string(result));
    } catch (const SetupError& error) {
        std::fprintf(stderr, "cannot run: %s\n", error.reason.c_str());
    }
    std::fflush(nullptr);
    // The threads of the stand-ins end with the process.
    std::_Exit(result);
}
