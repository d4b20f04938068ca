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

// Reads lines of the form id<TAB>title<TAB>text. Lines of another form are skipped.
std::vector<Document> readCatalogue(const std::string& file);

// The shard that holds a document.
std::uint32_t shardOf(const std::string& documentId, std::uint32_t shards);

// Lower-case words of letters and digits.
std::vector<std::string> wordsOf(const std::string& text);

// Inverted index of one shard. The score of a document is the sum over the query's words of the times the
// word stands in the text, plus three times the times it stands in the title.
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
