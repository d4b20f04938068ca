#pragma once

#include "second/record.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>

namespace flamingousher::review {

struct CaseInput {
    boost::asio::io_context& io;
    std::string daemon;
    std::string folder;
    bool hasTrouble { true };
    Record& record;
};

// Plays a case and returns whether the rule was broken. Throws if it cannot run.
using Case = std::function<bool(const CaseInput&)>;

std::map<std::string, Case> makeCases();

// Each is described beside its definition.
bool playLeavingCrowd(const CaseInput&);
bool playLongTrailer(const CaseInput&);
bool playUnnamedPart(const CaseInput&);
bool playUnnamedRefusal(const CaseInput&);
bool playReissuedOrder(const CaseInput&);

} // namespace flamingousher::review
