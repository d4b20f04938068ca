#include "scenario/scenario.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace flamingousher::scenario {

namespace {

    // Upstreams may still start work for this long after a drain begins.
    constexpr base::Duration DrainBound = std::chrono::seconds(3);

    // Parsed ID of a hit of a fake searcher: query/shard/version.
    struct HitOrigin {
        std::uint64_t query { 0 };
        std::uint32_t shard { 0 };
        query::IndexVersion version { 0 };
    };

    HitOrigin originOf(const query::Hit& hit)
    {
        HitOrigin origin;
        char separator = 0;
        std::istringstream(hit.id) >> origin.query >> separator >> origin.shard >> separator >> origin.version;
        return origin;
    }

    class Checker {
    public:
        Checker(const Settings& settings, const History& history)
            : settings_(settings)
            , history_(history)
        {
        }

        std::vector<std::string> check()
        {
            for (const Answer& answer : history_.answers)
                checkAnswer(answer);
            checkEachAnsweredOnce();
            checkNotRun();
            checkReservations();
            checkDrains();
            if (history_.slotsExceeded > 0)
                violations_.push_back("slots exceeded " + std::to_string(history_.slotsExceeded) + " times");
            return std::move(violations_);
        }

    private:
        void addViolation(std::uint64_t query, const std::string& what)
        {
            violations_.push_back("query " + std::to_string(query) + ": " + what);
        }

        void checkAnswer(const Answer& answer)
        {
            const query::QueryOutcome& outcome = answer.outcome;
            if (outcome.error)
                return;
            std::set<std::uint32_t> present;
            for (const query::Hit& hit : outcome.hits) {
                const HitOrigin origin = originOf(hit);
                if (origin.query != answer.query)
                    addViolation(answer.query, "contains a hit of query " + std::to_string(origin.query));
                if (origin.version != outcome.version)
                    addViolation(answer.query, "mixes index versions");
                if (!present.insert(origin.shard).second)
                    addViolation(answer.query, "contains shard " + std::to_string(origin.shard) + " twice");
            }
            std::set<std::uint32_t> reported;
            for (std::uint32_t shard = 0; shard < outcome.shardsQueried; ++shard)
                reported.insert(shard);
            for (const query::MissingShard& missing : outcome.missing)
                reported.erase(missing.shard);
            if (reported != present)
                addViolation(answer.query, "reports a wrong coverage");
            if (outcome.shardsQueried != settings_.shards)
                addViolation(answer.query, "queried a wrong number of shards");
        }

        void checkEachAnsweredOnce()
        {
            std::map<std::uint64_t, int> answers;
            for (const Answer& answer : history_.answers)
                ++answers[answer.query];
            for (const auto& [query, count] : answers) {
                if (count != 1)
                    addViolation(query, "was answered " + std::to_string(count) + " times");
            }
            if (answers.size() + history_.unanswered < history_.invocations.size())
                violations_.push_back("queries neither answered nor counted as lost");
        }

        void checkNotRun()
        {
            std::set<std::uint64_t> executed;
            for (const Execution& execution : history_.executions)
                executed.insert(execution.query);
            for (const Answer& answer : history_.answers) {
                const auto& error = answer.outcome.error;
                if (error && error->runState == base::RunState::NotRun && executed.contains(answer.query))
                    addViolation(answer.query, "was reported as not run, but ran");
            }
        }

        void checkReservations()
        {
            std::map<std::string, int> runs;
            for (const ReservationRun& run : history_.reservationRuns) {
                if (++runs[run.identity] == 2)
                    violations_.push_back("reservation " + run.identity + " ran twice");
            }
            for (const ReservationAnswer& answer : history_.reservationAnswers) {
                if (answer.state == base::RunState::NotRun && answer.runsBefore > 0)
                    violations_.push_back("reservation " + answer.identity + " was reported as not run, but ran");
                if (answer.state == base::RunState::Run && answer.runsBefore == 0)
                    violations_.push_back("reservation " + answer.identity + " was reported as run, but did not run");
            }
        }

        void checkDrains()
        {
            for (const DrainStart& drain : history_.drains) {
                const bool isViolated = std::ranges::any_of(history_.executions, [&](const Execution& execution) {
                    return execution.upstream == drain.upstream && execution.at > drain.at + DrainBound;
                });
                if (isViolated)
                    violations_.push_back(
                        "upstream " + std::to_string(drain.upstream) + " received work after it drained");
            }
        }

        const Settings& settings_;
        const History& history_;
        std::vector<std::string> violations_;
    };

} // namespace

std::vector<std::string> check(const Settings& settings, const History& history)
{
    return Checker(settings, history).check();
}

} // namespace flamingousher::scenario
