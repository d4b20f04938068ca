#pragma once

#include "review/world.h"

namespace flamingousher::review {

// Each runs one case on the thread of the world, and returns what was seen.

// The operator removes routes that are in use.
Verdict runRouteRemoval(World&, bool hasTrouble);

// Searchers spoil some of their answers.
Verdict runGarbledAnswer(World&, bool hasTrouble);

// Searchers fail some requests that they have run.
Verdict runUnmarkedRefusal(World&, bool hasTrouble);

} // namespace flamingousher::review
