#pragma once

#include "world.h"

#include <vector>

namespace review {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

struct Case {
    const char* name;
    int (*run)(Record&, bool hasTrouble);
};

// A crowd sends requests inside the limits that list thousands of names in their Connection field.
int runConnectionNames(Record&, bool hasTrouble);

// The store cuts waiting watches twice while a searcher leaves without a word.
int runWatchCuts(Record&, bool hasTrouble);

// Callers name a host with a part of a path, for which there is no route.
int runHostWithPath(Record&, bool hasTrouble);

// A crowd sends HEAD requests.
int runHeadRequests(Record&, bool hasTrouble);

const std::vector<Case>& allCases();

} // namespace review
