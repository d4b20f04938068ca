#pragma once

#include "base/error.h"
#include "wire/types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace flamingousher::wire {

// Encodes a message as a FlatBuffer.
std::string encode(const Content&);

// Verifies and decodes a FlatBuffer received from a peer.
tl::expected<Content, base::Error> decode(const std::string& peer, std::string_view bytes);

} // namespace flamingousher::wire
