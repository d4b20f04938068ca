#include "standins/searcher/catalogue.h"

#include "query/topkmerger.h"

#include <xxhash.h>

#include <cctype>
#include <fstream>
#include <map>

namespace flamingousher::standins {

namespace {

    constexpr double TitleWeight = 3;

} // namespace

std::vector<Document> readCatalogue(const std::string& file)
{
    std::vector<Document> documents;
    std::ifstream stream(file);
    std::string line;
    while (std::getline(stream, line)) {
        const std::size_t first = line.find('\t');
        const std::size_t second = first == std::string::npos ? first : line.find('\t', first + 1);
        if (second == std::string::npos)
            continue;
        documents.push_back(
            { line.substr(0, first), line.substr(first + 1, second - first - 1), line.substr(second + 1) });
    }
    return documents;
}

std::uint32_t shardOf(const std::string& documentId, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(documentId.data(), documentId.size()) % shards);
}

std::vector<std::string> splitWords(const std::string& text)
{
    std::vector<std::string> words;
    std::string word;
    for (char character : text + " ") {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || byte >= 0x80) {
            word += static_cast<char>(std::tolower(byte));
        } else if (!word.empty()) {
            words.push_back(std::move(word));
            word.clear();
        }
    }
    return words;
}

ShardIndex::ShardIndex(const std::vector<Document>& documents, std::uint32_t shard, std::uint32_t shards)
{
    for (const Document& document : documents) {
        if (shardOf(document.id, shards) != shard)
            continue;
        const auto number = static_cast<std::uint32_t>(documents_.size());
        documents_.emplace_back(document.id, document.title);
        std::map<std::string, double> weights;
        for (const std::string& word : splitWords(document.title))
            weights[word] += TitleWeight;
        for (const std::string& word : splitWords(document.text))
            weights[word] += 1;
        for (const auto& [word, weight] : weights)
            postings_[word].push_back({ number, weight });
    }
}

std::vector<query::Hit> ShardIndex::search(const std::string& text, std::size_t limit) const
{
    std::unordered_map<std::uint32_t, double> scores;
    for (const std::string& word : splitWords(text)) {
        const auto found = postings_.find(word);
        if (found == postings_.end())
            continue;
        for (const Posting& posting : found->second)
            scores[posting.document] += posting.weight;
    }
    std::vector<query::Hit> hits;
    hits.reserve(scores.size());
    for (const auto& [document, score] : scores)
        hits.push_back({ documents_[document].first, documents_[document].second, score });
    query::TopKMerger merger(limit);
    merger.add(std::move(hits));
    return merger.takeSorted();
}

} // namespace flamingousher::standins
