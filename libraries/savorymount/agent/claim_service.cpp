#include <savorymount/agent/claim_service.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::agent
{
namespace
{

using namespace std::chrono_literals;
using deduplication::claim_action;

constexpr std::size_t claims_per_append = 64;
constexpr base::duration batch_wait = 5ms;
constexpr base::duration review_interval = 5ms;

} // namespace

claim_service::claim_service(runtime::kernel& owner)
    : kernel_(owner),
      claims_(deduplication::claim_limits{}, owner.settings().instance,
              owner.settings().incarnation,
              [this](std::string const& agent, std::string const& incarnation)
              {
                  auto const& own = kernel_.settings();
                  bool const here = agent == own.instance && incarnation == own.incarnation;
                  return here || kernel_.directory().is_live(agent, incarnation);
              }),
      batch_(claims_per_append, batch_wait)
{
    kernel_.configuration().on_change(
        [this](configuration::configuration const& current)
        { claims_.set_window(current.settings().idempotency_window); });
    kernel_.log().on_page(
        [this](std::uint64_t, runtime::log_page const& page)
        {
            claims_.set_log_available(true);
            if (page.first > next_offset_)
                claims_.on_records_lost();
            next_offset_ = std::max(next_offset_, page.next);
        });
    kernel_.log().on_record([this](runtime::log_record const& record) { handle_record(record); });
    kernel_.log().on_read(
        [this](bool caught_up)
        {
            if (caught_up)
                claims_.on_log_end_reached(next_offset_);
            review();
        });
    timer_ = kernel_.timers().every(review_interval,
                                    [this]
                                    {
                                        if (pending_.empty() && !batch_.due_at())
                                            return;
                                        claims_.set_log_available(kernel_.log().available());
                                        send_batch();
                                        review();
                                    });
}

void claim_service::decide(deduplication::claim own, decided done)
{
    auto const now = kernel_.now();
    claims_.set_log_available(kernel_.log().available());
    auto const verdict =
        claims_.decide_before_append(own.workspace, own.key_digest, own.request_digest, now);
    if (verdict.action != claim_action::append)
    {
        done(verdict);
        return;
    }
    batch_.add(own, now);
    pending_.push_back({std::move(own), false, std::move(done)});
}

void claim_service::withdraw(deduplication::claim const& own, std::string const& request)
{
    claims_.withdraw(own.workspace, own.key_digest, request);
}

void claim_service::handle_record(runtime::log_record const& record)
{
    std::vector<deduplication::claim> claims;
    if (runtime::has_kind(record, "claim"))
    {
        base::error reason;
        auto parsed = deduplication::parse_claims(record.body, reason);
        if (parsed)
            claims = std::move(*parsed);
        else
            runtime::log(runtime::log_events::log_record_ignored,
                         {{"offset", record.offset}, {"reason", reason.message}});
    }
    claims_.apply(record.offset, record.time_ms, claims, kernel_.now());
}

void claim_service::send_batch()
{
    auto const now = kernel_.now();
    auto const claims = batch_.take_due(now);
    if (claims.empty())
        return;
    for (auto& it : pending_)
    {
        if (it.sent)
            continue;
        it.sent = true;
        claims_.record_append(it.own, now);
    }
    auto const id = "claim-" + kernel_.settings().name() + "-" + std::to_string(next_append_++);
    // An answer that is lost changes nothing: the claim is found when the log is read.
    kernel_.log().append(id, deduplication::to_json(claims), [](auto const&, auto const&) {});
}

void claim_service::review()
{
    auto const now = kernel_.now();
    std::list<std::pair<decided, deduplication::claim_decision>> ready;
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        auto const current = it++;
        if (!current->sent)
            continue;
        auto const verdict = claims_.decide_after_append(current->own, now);
        if (verdict.action == claim_action::wait)
            continue;
        ready.emplace_back(std::move(current->done), verdict);
        pending_.erase(current);
    }
    for (auto const& it : ready)
        it.first(it.second);
}

} // namespace savorymount::agent
