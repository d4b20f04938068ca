#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

// Scans a catalogue line by line and prints the ids of the documents with the highest scores for a query, best first.
// Shares no code with the searcher stand-in, so that the two can be compared.
namespace {

struct Scored {
    std::string id;
    long score;
};

long countWord(const std::string& text, const std::string& word)
{
    long count = 0;
    std::string current;
    for (std::size_t position = 0; position <= text.size(); ++position) {
        const unsigned char byte = position < text.size() ? static_cast<unsigned char>(text[position]) : ' ';
        const bool isWord = std::isalnum(byte) || byte >= 0x80;
        if (isWord) {
            current.push_back(static_cast<char>(std::tolower(byte)));
            continue;
        }
        count += current == word ? 1 : 0;
        current.clear();
    }
    return count;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        std::cerr << "usage: flamingousher-scan CATALOGUE LIMIT WORD...\n";
        return 2;
    }
    std::ifstream catalogue(argv[1]);
    std::vector<Scored> scored;
    std::string line;
    while (std::getline(catalogue, line)) {
        const std::size_t title = line.find('\t');
        const std::size_t text = line.find('\t', title + 1);
        if (title == std::string::npos || text == std::string::npos)
            continue;
        long score = 0;
        for (int index = 3; index < argc; ++index)
            score += 3 * countWord(line.substr(title + 1, text - title - 1), argv[index])
                + countWord(line.substr(text + 1), argv[index]);
        if (score > 0)
            scored.push_back({ line.substr(0, title), score });
    }
    std::sort(scored.begin(), scored.end(), [](const Scored& left, const Scored& right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    const std::size_t limit = std::strtoul(argv[2], nullptr, 10);
    for (std::size_t index = 0; index < std::min(limit, scored.size()); ++index)
        std::cout << scored[index].id << '\n';
    return 0;
}
