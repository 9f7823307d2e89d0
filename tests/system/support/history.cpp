#include <algorithm>
#include <tests/system/support/history.hpp>
#include <utility>

namespace savorymount::tests
{
namespace
{

bool succeeded(recorded_call const& call)
{
    return call.answer->done && call.answer->whole && call.answer->status / 100 == 2;
}

std::uint64_t runs_of(std::map<std::string, std::uint64_t> const& executions, std::string const& id)
{
    auto const it = executions.find(id);
    return it == executions.end() ? 0 : it->second;
}

} // namespace

void history::add(std::string workspace, std::shared_ptr<caller_answer> answer,
                  std::uint64_t tokens, std::string idempotency_key)
{
    calls_.push_back({std::move(workspace),
                      std::move(idempotency_key),
                      tokens,
                      std::chrono::steady_clock::now(),
                      {},
                      std::move(answer)});
}

void history::note_ends()
{
    for (auto& it : calls_)
    {
        if (it.answer->done && it.ended == std::chrono::steady_clock::time_point{})
            it.ended = std::chrono::steady_clock::now();
    }
}

std::vector<std::string>
history::check_executions(std::map<std::string, std::uint64_t> const& executions) const
{
    std::vector<std::string> out;
    for (auto const& [id, count] : executions)
    {
        if (count > 1)
            out.push_back("request " + id + " ran " + std::to_string(count) + " times");
    }
    std::map<std::string, std::map<std::string, bool>> bodies_by_key;
    for (auto const& it : calls_)
    {
        auto const id = it.answer->header("x-savorymount-request-id");
        auto const state = it.answer->header("x-savorymount-execution");
        bool const keyed = !it.idempotency_key.empty();
        if (succeeded(it) && !keyed && runs_of(executions, id) != 1)
            out.push_back("request " + id + " got a success but did not run once");
        if (state == "not_run" && runs_of(executions, id) != 0)
            out.push_back("request " + id + " was refused as not run but ran");
        if (!succeeded(it) && it.answer->status != 0 && state.empty())
            out.push_back("request " + id + " failed without saying whether it ran");
        if (succeeded(it) && keyed)
            bodies_by_key[it.workspace + "/" + it.idempotency_key][it.answer->body] = true;
    }
    for (auto const& [key, bodies] : bodies_by_key)
    {
        if (bodies.size() > 1)
            out.push_back("idempotency key " + key + " ran more than once");
    }
    return out;
}

std::vector<std::string> history::check_rate(std::string const& workspace, double rate,
                                             double burst) const
{
    std::vector<recorded_call const*> admitted;
    for (auto const& it : calls_)
    {
        if (it.workspace == workspace && succeeded(it))
            admitted.push_back(&it);
    }
    std::vector<std::string> out;
    // A call was admitted between its beginning and its end, so it counts in an interval only if it
    // lies wholly in it.
    std::sort(admitted.begin(), admitted.end(),
              [](auto const* left, auto const* right) { return left->ended < right->ended; });
    for (auto const* first : admitted)
    {
        double tokens = 0;
        for (auto const* it : admitted)
        {
            if (it->began < first->began)
                continue;
            tokens += static_cast<double>(it->tokens);
            auto const length = std::chrono::duration<double>(it->ended - first->began).count();
            if (tokens > burst + rate * length)
                out.push_back(std::to_string(tokens) + " tokens in " + std::to_string(length) +
                              " s of workspace " + workspace);
        }
    }
    return out;
}

} // namespace savorymount::tests
