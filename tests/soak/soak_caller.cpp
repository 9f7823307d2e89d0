#include <tests/soak/promise_checker.hpp>
#include <tests/soak/soak_caller.hpp>
#include <utility>

namespace savorymount::soak
{
namespace
{

using namespace std::chrono_literals;

constexpr base::duration time_limit = 4s;
// A caller waits somewhat longer than it says.
constexpr base::duration patience = time_limit + 1s;
constexpr base::duration shortest_pause = 5ms;
constexpr std::uint64_t pause_spread_us = 40'000;
constexpr base::duration pause_without_gateway = 50ms;
constexpr double stream_share = 0.5;
constexpr double second_key_share = 0.2;
constexpr double limited_key_share = 0.3;
// One in so many requests has the part that may crash engines. It is not drawn, so that the draws
// of earlier seeds stay.
constexpr std::uint64_t crashing_part_interval = 16;
constexpr unsigned max_resumptions = 2;
constexpr int status_ok = 200;

/// Events of a text that ends with a whole one.
std::size_t count_events(std::string const& text)
{
    std::size_t out = 0;
    for (auto at = text.find("\n\n"); at != std::string::npos; at = text.find("\n\n", at + 2))
        ++out;
    return out;
}

} // namespace

soak_caller::soak_caller(runtime::event_loop& loop, runtime::timer_service& timers,
                         std::string name, std::uint64_t seed, caller_hooks hooks)
    : loop_(loop), timers_(timers), name_(std::move(name)), random_(seed), hooks_(std::move(hooks))
{
}

void soak_caller::next_call()
{
    in_call_ = false;
    if (stopping_)
        return;
    if (connection_ && !connection_->reusable())
        connection_.reset();
    bool const kept = connection_ != nullptr;
    if (!kept)
    {
        auto const gateway = hooks_.choose_gateway();
        if (!gateway)
        {
            think_timer_ = timers_.after(pause_without_gateway, [this] { next_call(); });
            return;
        }
        gateway_ = gateway->index;
        runtime::outbound_options options;
        options.address = gateway->address;
        connection_ = std::make_unique<runtime::outbound_connection>(loop_, timers_, options);
    }
    call_ = {};
    call_.kept_connection = kept;
    send();
}

void soak_caller::send()
{
    in_call_ = true;
    call_.id = name_ + "-" + std::to_string(sent_++);
    if (resumed_request_.empty())
        choose_request();
    else
        resume_stream();
    call_.gateway = gateway_;
    call_.started = timers_.now();
    runtime::call_hooks hooks;
    hooks.head = [this](runtime::http_head const& head)
    {
        take_head(head);
    };
    hooks.body = [this](std::string_view bytes)
    {
        call_.body += bytes;
    };
    hooks.done = [this]
    {
        end_call(true);
    };
    hooks.failed = [this](runtime::call_failure, std::string const&)
    {
        connection_.reset();
        end_call(false);
    };
    give_up_timer_ = timers_.after(patience,
                                   [this]
                                   {
                                       connection_.reset();
                                       end_call(false);
                                   });
    connection_->call(make_request(), call_.id, std::move(hooks));
}

void soak_caller::choose_request()
{
    call_.kind = random_.uniform_real() < stream_share ? call_kind::stream : call_kind::booking;
    call_.key = choose_key();
    call_.has_crashing_part =
        call_.kind == call_kind::stream && sent_ % crashing_part_interval == 0;
}

void soak_caller::resume_stream()
{
    call_.kind = call_kind::stream;
    call_.key = "key-a";
    call_.has_crashing_part = resumed_has_crashing_part_;
    call_.resumes = std::exchange(resumed_request_, "");
    call_.begun = std::exchange(resumed_events_, "");
}

void soak_caller::plan_resumption()
{
    bool const is_stream = call_.kind == call_kind::stream && call_.key == "key-a";
    bool const begins = call_.resumes.empty();
    auto const end = call_.body.rfind("\n\n");
    bool const has_events = call_.status == status_ok && end != std::string::npos;
    if (begins)
        resumptions_left_ = max_resumptions;
    // What came is kept when a later request brings nothing.
    bool const goes_on = has_events || !begins;
    if (!is_stream || call_.whole || !goes_on || resumptions_left_ == 0)
        return;
    --resumptions_left_;
    resumed_request_ = begins ? call_.id : call_.resumes;
    resumed_events_ = call_.begun + (has_events ? call_.body.substr(0, end + 2) : "");
    resumed_has_crashing_part_ = call_.has_crashing_part;
}

std::string soak_caller::choose_key()
{
    // Only bookings cost the limited workspace one token each.
    auto const draw = random_.uniform_real();
    if (draw < second_key_share)
        return second_key();
    bool const limited = call_.kind == call_kind::booking && draw > 1 - limited_key_share;
    return limited ? limited_key() : "key-a";
}

std::string soak_caller::make_request() const
{
    bool const stream = call_.kind == call_kind::stream;
    std::string out = stream ? "POST /p/chat HTTP/1.1\r\n" : "POST /b/slot HTTP/1.1\r\n";
    out += "Host: chat.example\r\nX-Request-Id: " + call_.id + "\r\n";
    out += "X-Deadline-Ms: " + std::to_string(time_limit.count() / 1000) + "\r\n";
    out += "Authorization: Bearer " + call_.key + "\r\n";
    auto const parts =
        (call_.has_crashing_part ? crashing_part() + ":200," : "aa:200,") + name_ + ":100";
    if (stream)
        out += "X-Model: crew\r\nX-Token-Count: 300,8\r\nX-Prompt-Prefix: " + parts + "\r\n";
    if (!call_.resumes.empty())
    {
        out += "Resumes: " + call_.resumes + "\r\n";
        out += "Last-Event-Id: " + std::to_string(count_events(call_.begun)) + "\r\n";
    }
    return out + "Content-Length: " + std::to_string(call_.id.size()) + "\r\n\r\n";
}

void soak_caller::take_head(runtime::http_head const& head)
{
    call_.status = head.status;
    call_.stamped = runtime::find_header(head.headers, "X-Response-Stamp").has_value();
}

void soak_caller::end_call(bool whole)
{
    give_up_timer_ = {};
    call_.whole = whole;
    call_.ended = timers_.now();
    hooks_.ended(call_);
    plan_resumption();
    auto const pause =
        shortest_pause +
        base::duration(static_cast<std::int64_t>(random_.uniform_below(pause_spread_us)));
    think_timer_ = timers_.after(pause, [this] { next_call(); });
}

} // namespace savorymount::soak
