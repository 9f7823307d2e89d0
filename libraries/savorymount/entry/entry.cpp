#include <savorymount/entry/entry.hpp>
#include <savorymount/entry/entry_request.hpp>
#include <savorymount/entry/error_answer.hpp>
#include <savorymount/runtime/base_peer.hpp>
#include <savorymount/runtime/log_events.hpp>

#include <utility>

namespace savorymount::entry
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_header_bytes = std::size_t{64} * 1024;

} // namespace

std::unique_ptr<entry> entry::make(entry_settings settings, base::error& reason)
{
    auto owner = runtime::kernel::make(settings.kernel, reason);
    if (!owner)
        return nullptr;
    return std::make_unique<entry>(std::move(settings), std::move(owner));
}

entry::entry(entry_settings settings, std::unique_ptr<runtime::kernel> owner)
    : settings_(std::move(settings)), kernel_(std::move(owner)), selector_(*kernel_),
      quarantine_(retries::crash_quarantine_options{}),
      context_{*kernel_,
               settings_,
               selector_,
               gate_,
               quarantine_,
               [this](std::string const& workspace, std::string const& end,
                      std::optional<base::duration> first_token)
               {
                   record(workspace, end, first_token);
               }},
      server_(kernel_->loop(),
              runtime::http_limits{.max_header_bytes = max_header_bytes,
                                   .max_body_bytes = settings_.max_body_bytes},
              [this](std::shared_ptr<runtime::http_exchange> const& exchange) { handle(exchange); })
{
    kernel_->set_peer_maker(
        [this](kj::Maybe<wire::Peer::Client> caller)
        { return wire::Peer::Client(kj::heap<runtime::base_peer>(*kernel_, kj::mv(caller))); });
    kernel_->configuration().on_change(
        [this](configuration::configuration const& current)
        { quarantine_.set_quarantine_duration(current.settings().quarantine); });
    kernel_->on_leave([this] { server_.stop_accepting(); });
    kernel_->add_status(
        [this](nlohmann::json& status)
        {
            status["running"] = server_.open_exchanges();
            status["upstreams"] = selector_.ready_upstreams();
        });
}

bool entry::start(base::error& reason)
{
    auto const port = server_.listen(settings_.http_listen, reason);
    if (!port)
        return false;
    settings_.http_listen.port = *port;
    if (!kernel_->start(reason))
        return false;
    runtime::log(runtime::log_events::started,
                 {{"instance", kernel_->settings().name()},
                  {"http", runtime::to_string(settings_.http_listen)},
                  {"listen", runtime::to_string(kernel_->settings().listen)},
                  {"status", runtime::to_string(kernel_->settings().status_listen)}});
    return true;
}

void entry::handle(std::shared_ptr<runtime::http_exchange> const& exchange)
{
    raw_request raw{make_request_id(), exchange->method(), exchange->target(), exchange->headers(),
                    exchange->body()};
    base::error reason;
    base::duration retry_after{};
    std::optional<routed_request> request;
    if (!kernel_->configuration().ready())
    {
        reason = {base::error_kind::unavailable, "this instance has no configuration yet; retry"};
        retry_after = 1s;
    }
    else
        request = parse_routed_request(
            raw, kernel_->configuration().current(), kernel_->configuration().keys(),
            [this](std::string const& group, runtime::held_model const& it)
            { return selector_.serves(group, it); },
            reason);
    if (request)
    {
        if (auto const wait = gate_.check(kernel_->now(), request->workspace))
        {
            reason = {base::error_kind::rate_limited,
                      "the workspace has used its rate and burst; retry after the time given"};
            retry_after = *wait;
            request.reset();
        }
    }
    if (!request)
    {
        auto const answer = make_error_answer(reason, execution::not_run, retry_after, raw.id);
        exchange->respond(answer.status, answer.headers, answer.body);
        return;
    }
    std::make_shared<entry_request>(context_, exchange, std::move(*request))->start();
}

void entry::record(std::string const& workspace, std::string const& end,
                   std::optional<base::duration> first_token)
{
    auto& metrics = kernel_->metrics();
    metrics
        .counter("savorymount_requests_total", "Requests by workspace and how they ended.",
                 {{"workspace", workspace}, {"end", end}})
        .add();
    if (!first_token)
        return;
    metrics
        .histogram("savorymount_first_token_seconds", "Time to the first byte of the answer.",
                   {{"workspace", workspace}})
        .record(std::chrono::duration<double>(*first_token).count());
}

std::string entry::make_request_id()
{
    return kernel_->settings().instance + "-" + kernel_->settings().incarnation + "-" +
           std::to_string(next_request_++);
}

} // namespace savorymount::entry
