#pragma once

#include "accounts/requestrecord.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace flamingousher::accounts {

// Stores the records of slow, partial and refused requests. Evicts the oldest record when full.
class RecordStore {
public:
    explicit RecordStore(std::size_t capacity);

    void add(RequestRecord);
    std::optional<RequestRecord> find(const std::string& requestId) const;
    std::size_t size() const { return records_.size(); }

private:
    std::size_t capacity_;
    std::unordered_map<std::string, RequestRecord> records_;
    std::deque<std::string> insertionOrder_; // request ids, oldest first
};

} // namespace flamingousher::accounts
