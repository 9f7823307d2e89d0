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
constexpr base::duration decision_timeout = 5s;

} // namespace

claim_service::claim_service(runtime::kernel& owner)
    : kernel_(owner),
      claims_(deduplication::claim_limits{},
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
        [this](runtime::log_page const& page)
        {
            claims_.set_log_available(true);
            if (page.first > next_offset_)
                claims_.lose_records();
            next_offset_ = std::max(next_offset_, page.next);
        });
    kernel_.log().on_record([this](runtime::log_record const& record) { handle_record(record); });
    kernel_.log().on_read(
        [this](bool caught_up)
        {
            if (caught_up)
                claims_.reach_end(next_offset_);
            review();
        });
    timer_ = kernel_.timers().every(review_interval,
                                    [this]
                                    {
                                        if (pending_.empty() && !batch_.due())
                                            return;
                                        claims_.set_log_available(kernel_.log().available());
                                        send_batch();
                                        review();
                                    });
}

void claim_service::decide(std::string const& workspace, std::string const& key,
                           std::string const& request, decided done)
{
    auto const now = kernel_.now();
    claims_.set_log_available(kernel_.log().available());
    auto const verdict = claims_.before_append(workspace, key, now);
    if (verdict.action != claim_action::append)
    {
        done(verdict);
        return;
    }
    auto const& own = kernel_.settings();
    deduplication::claim const it{workspace, key, request, own.instance, own.incarnation};
    batch_.add(it, now);
    pending_.push_back({it, now, now + decision_timeout, false, std::move(done)});
}

void claim_service::handle_record(runtime::log_record const& record)
{
    std::vector<deduplication::claim> claims;
    if (record.body.is_object() && record.body.value("kind", "") == "claim")
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
    auto const claims = batch_.take(now);
    if (claims.empty())
        return;
    for (auto& it : pending_)
    {
        if (it.sent)
            continue;
        it.sent = true;
        it.appended_at = now;
    }
    auto const id = "claim-" + kernel_.settings().name() + "-" + std::to_string(next_append_++);
    // An answer that is lost changes nothing: the claim is found when the log is read.
    kernel_.log().append(id, deduplication::to_json(claims), [](auto const&, auto const&) {});
}

void claim_service::review()
{
    auto const now = kernel_.now();
    std::list<pending> decided_now;
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        auto const current = it++;
        if (!current->sent)
            continue;
        auto const verdict = claims_.after_append(current->own, current->appended_at, now);
        bool const undecided =
            verdict.action == claim_action::wait || verdict.action == claim_action::append;
        if (!undecided || now >= current->give_up_at)
            decided_now.splice(decided_now.end(), pending_, current);
    }
    for (auto& it : decided_now)
    {
        auto verdict = claims_.after_append(it.own, it.appended_at, now);
        // A claim that never appeared may still be in the log; running later would be a second run
        // for whoever reads it first, so the request is given up as not run here.
        if (verdict.action == claim_action::wait || verdict.action == claim_action::append)
            verdict = {.action = claim_action::refuse_not_run,
                       .request = {},
                       .agent = {},
                       .incarnation = {}};
        it.done(verdict);
    }
}

} // namespace savorymount::agent
