#pragma once

#include "query/types.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace flamingousher::standins {

struct Document {
    std::string id;
    std::string title;
    std::string text;
};

// Reads lines of the form id<TAB>title<TAB>text and skips malformed lines.
std::vector<Document> readCatalogue(const std::string& file);

// Returns the shard that holds a document.
std::uint32_t shardOf(const std::string& documentId, std::uint32_t shards);

// Splits text into lower-case words of letters and digits. Bytes above 0x7f count as letters.
std::vector<std::string> splitWords(const std::string& text);

// Inverted index of one shard. The score of a document is the sum, over the words of the query, of the word's
// occurrences in the text plus three times its occurrences in the title.
class ShardIndex {
public:
    ShardIndex(const std::vector<Document>&, std::uint32_t shard, std::uint32_t shards);

    std::vector<query::Hit> search(const std::string& text, std::size_t limit) const;

private:
    struct Posting {
        std::uint32_t document { 0 };
        double weight { 0 };
    };

    std::vector<std::pair<std::string, std::string>> documents_; // id and title
    std::unordered_map<std::string, std::vector<Posting>> postings_;
};

} // namespace flamingousher::standins
