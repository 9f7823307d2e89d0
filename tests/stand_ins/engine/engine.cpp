#include <savorymount/base/digest.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <tests/stand_ins/engine/engine.hpp>
#include <thread>

namespace savorymount::stand_ins
{
namespace
{

constexpr std::size_t output_bound_bytes = std::size_t{256} * 1024;

// Lets the response to the order leave before the process stands still.
constexpr base::duration freeze_delay = std::chrono::milliseconds(5);

/// `model:adapter:version`, separated by commas.
std::vector<model_name> parse_models(std::string const& text)
{
    std::vector<model_name> out;
    std::size_t start = 0;
    while (start < text.size())
    {
        auto const end = std::min(text.find(',', start), text.size());
        std::string const one = text.substr(start, end - start);
        auto const first = one.find(':');
        auto const second = first == std::string::npos ? first : one.find(':', first + 1);
        if (second == std::string::npos)
        {
            std::cerr << "setting models: give model:adapter:version, such as assay::1\n";
            std::exit(2);
        }
        out.push_back({one.substr(0, first), one.substr(first + 1, second - first - 1),
                       one.substr(second + 1)});
        start = end + 1;
    }
    return out;
}

model_store::options store_options(runtime::parsed_settings const& settings)
{
    model_store::options out{settings.text("checks-fencing") == "true",
                             milliseconds(settings, "load-ms"), std::nullopt};
    std::string const& address = settings.text("weights");
    if (address.empty())
        return out;
    base::error reason;
    out.weights = runtime::parse_address("weights", address, reason);
    if (out.weights)
        return out;
    std::cerr << reason.message << "\n";
    std::exit(2);
}

} // namespace

engine::engine(runtime::event_loop& loop, runtime::parsed_settings const& settings)
    : loop_(loop), timers_(loop), block_tokens_(static_cast<std::size_t>(
                                      std::max<std::int64_t>(1, number(settings, "block-tokens")))),
      answer_tokens_(static_cast<std::size_t>(number(settings, "answer-tokens"))),
      token_time_(milliseconds(settings, "token-ms")),
      prefill_time_(milliseconds(settings, "prefill-ms-per-block")),
      load_lag_(milliseconds(settings, "load-lag-ms")),
      cache_(static_cast<std::size_t>(number(settings, "cache-blocks"))),
      events_(milliseconds(settings, "event-lag-ms"),
              static_cast<std::uint64_t>(number(settings, "event-gap-every"))),
      models_(loop, store_options(settings)),
      batch_(static_cast<std::size_t>(std::max<std::int64_t>(1, number(settings, "slots"))),
             block_tokens_,
             {[this](running_request const& it) { return begin(it); },
              [this](running_request const& it, std::size_t index)
              {
                  if (index >= it.request.blocks.size())
                      return;
                  store(it.request.blocks[index], it.request.id, index);
                  cache_.use_prefix(it.request.blocks);
              },
              [this](running_request const& it)
              {
                  auto const& exchange = callers_.at(it.request.id).exchange;
                  return exchange->buffered_bytes() < output_bound_bytes;
              },
              [this](running_request const& it) { return send_token(it); },
              [this](running_request const& it)
              {
                  finish(it);
              }})
{
    for (auto const& it : parse_models(settings.text("models")))
        models_.add(it);
    reported_load_ = current_load();
    if (load_lag_ > base::duration::zero())
        load_timer_ = timers_.every(load_lag_, [this] { reported_load_ = current_load(); });
}

void engine::handle(exchange_ptr const& exchange)
{
    std::string const path = parse_target(exchange->target()).path;
    std::string const route = exchange->method() + " " + path;
    auto const request = path_below(path, "/v1/requests/");
    auto const block = path_below(path, "/kv/");
    if (route == "POST /v1/chat/completions")
        complete(exchange);
    else if (request && exchange->method() == "DELETE")
        cancel(exchange, *request);
    else if (route == "GET /health")
        respond(exchange, 200, {{"status", "ok"}, {"engine", process_}});
    else if (route == "GET /load")
        respond(exchange, 200,
                load_lag_ > base::duration::zero() ? reported_load_ : current_load());
    else if (route == "GET /cache/events")
        show_events(exchange);
    else if (route == "POST /orders")
        models_.handle_order(exchange);
    else if (block)
        transfer_block(exchange, *block);
    else if (route == "POST /control")
        control(exchange);
    else
        respond_error(exchange, 404, "no such resource");
}

void engine::complete(exchange_ptr const& exchange)
{
    if (!crash_text_.empty() && exchange->body().find(crash_text_) != std::string::npos)
        std::_Exit(1);
    json const body = json::parse(exchange->body(), nullptr, false);
    auto request = parse_chat_request(body, exchange->headers(), block_tokens_, answer_tokens_);
    if (!request)
    {
        respond_error(exchange, 400, "the body must be a chat completion request");
        return;
    }
    if (!models_.holds(request->model))
    {
        respond_error(exchange, 404, "the model is not loaded");
        return;
    }
    if (request->id.empty())
        request->id = "unnamed-" + std::to_string(++unnamed_requests_);
    if (callers_.count(request->id) > 0)
    {
        respond_error(exchange, 409, "a request with this id is running");
        return;
    }
    callers_[request->id] = {exchange, "", 0};
    exchange->on_close(
        [this, id = request->id, closed = exchange.get()]
        {
            auto const it = callers_.find(id);
            if (it != callers_.end() && it->second.exchange.get() == closed)
                drop(id);
        });
    batch_.add(std::move(*request));
    begin_step();
}

void engine::cancel(exchange_ptr const& exchange, std::string const& id)
{
    auto const it = callers_.find(id);
    if (it == callers_.end())
    {
        respond_error(exchange, 404, "no such request");
        return;
    }
    it->second.exchange->abort();
    drop(id);
    respond(exchange, 200, {{"cancelled", id}});
}

void engine::drop(std::string const& id)
{
    batch_.cancel(id);
    callers_.erase(id);
}

std::size_t engine::begin(running_request const& it)
{
    std::size_t const cached = cache_.use_prefix(it.request.blocks);
    caller& waiting = callers_.at(it.request.id);
    if (it.request.stream)
        waiting.exchange->start(
            200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}});
    return cached;
}

void engine::store(std::uint64_t block, std::string const& request, std::size_t index)
{
    if (cache_.contains(block))
        return;
    for (std::uint64_t const it : cache_.store(block))
        events_.add("evicted", it, "", 0, loop_.now());
    if (cache_.contains(block))
        events_.add("stored", block, request, index, loop_.now());
}

bool engine::send_token(running_request const& it)
{
    caller& waiting = callers_.at(it.request.id);
    std::string const token = answer_token(it.request, it.position);
    if (it.request.stream)
        write_event(waiting.exchange, it.position, {{"content", token}}, json::object());
    else
        waiting.text += token;
    ++waiting.sent;
    if (!break_after_ || waiting.sent < *break_after_)
        return true;
    break_after_.reset();
    waiting.exchange->abort();
    callers_.erase(it.request.id);
    return false;
}

void engine::finish(running_request const& it)
{
    auto const found = callers_.find(it.request.id);
    caller const done = found->second;
    callers_.erase(found);
    if (it.request.stream)
    {
        write_event(done.exchange, it.position, json::object(), {{"usage", usage(it)}});
        done.exchange->write("data: [DONE]\n\n");
        done.exchange->finish();
        return;
    }
    respond(done.exchange, 200,
            {{"id", it.request.id},
             {"object", "chat.completion"},
             {"model", it.request.model.model},
             {"choices",
              {{{"index", 0},
                {"message", {{"role", "assistant"}, {"content", done.text}}},
                {"finish_reason", "length"}}}},
             {"usage", usage(it)}});
}

void engine::write_event(exchange_ptr const& exchange, std::size_t id, json const& delta,
                         json const& extra)
{
    json body = extra;
    body["object"] = "chat.completion.chunk";
    json choice{{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}};
    if (delta.empty())
        choice["finish_reason"] = "length";
    body["choices"] = json::array({choice});
    exchange->write("id: " + std::to_string(id) + "\ndata: " + body.dump() + "\n\n");
}

json engine::usage(running_request const& it) const
{
    std::size_t const produced = it.position - std::min(it.position, it.request.resume_from);
    return {{"prompt_tokens", it.request.prompt_tokens},
            {"completion_tokens", produced},
            {"total_tokens", it.request.prompt_tokens + produced},
            {"prompt_tokens_details", {{"cached_tokens", it.cached_blocks * block_tokens_}}}};
}

void engine::transfer_block(exchange_ptr const& exchange, std::string const& name)
{
    bool const named =
        name.size() == 16 && name.find_first_not_of("0123456789abcdef") == std::string::npos;
    std::uint64_t const block = named ? std::strtoull(name.c_str(), nullptr, 16) : 0;
    if (exchange->method() == "PUT" && named)
    {
        store(block, runtime::find_header(exchange->headers(), "x-request-id").value_or(""),
              parse_target(exchange->target()).number("index", 0));
        respond(exchange, 200, {{"block", name}});
        return;
    }
    if (exchange->method() == "GET" && named && cache_.contains(block))
    {
        respond(exchange, 200, {{"block", name}, {"tokens", block_tokens_}});
        return;
    }
    respond_error(exchange, 404, "no such block");
}

void engine::show_events(exchange_ptr const& exchange)
{
    json out = events_.read(parse_target(exchange->target()).number("after", 0), loop_.now());
    out["engine"] = process_;
    respond(exchange, 200, out);
}

void engine::control(exchange_ptr const& exchange)
{
    auto const wanted = parse_object(exchange);
    if (!wanted)
        return;
    for (auto const& [key, value] : wanted->items())
    {
        if (apply_control(key, value))
            continue;
        respond_error(exchange, 400, "unknown control " + key);
        return;
    }
    respond(exchange, 200, json::object());
}

bool engine::apply_control(std::string const& key, json const& value)
{
    if (key == "crash" && value == true)
        std::_Exit(1);
    if (key == "crash_on_text" && value.is_string())
    {
        crash_text_ = value;
        return true;
    }
    if (key == "clear_cache" && value == true)
    {
        for (std::uint64_t const it : cache_.clear())
            events_.add("evicted", it, "", 0, loop_.now());
        return true;
    }
    if (!value.is_number_unsigned())
        return false;
    auto const n = value.get<std::uint64_t>();
    if (key == "freeze_ms")
        freeze(std::chrono::milliseconds(n));
    else if (key == "drop_events")
        events_.drop(n);
    else if (key == "token_ms")
        token_time_ = std::chrono::milliseconds(n);
    else if (key == "prefill_ms_per_block")
        prefill_time_ = std::chrono::milliseconds(n);
    else if (key == "break_stream_after")
        break_after_ = n;
    else
        return false;
    return true;
}

void engine::freeze(base::duration time)
{
    run_after(timers_, freeze_delay, [time] { std::this_thread::sleep_for(time); });
}

json engine::current_load() const
{
    return {{"engine", process_},          {"running", batch_.running()},
            {"waiting", batch_.waiting()}, {"cached_blocks", cache_.size()},
            {"models", models_.loaded()},  {"loading", models_.loading()},
            {"role", models_.role()}};
}

void engine::begin_step()
{
    if (stepping_ || batch_.idle())
        return;
    stepping_ = true;
    bool const computes = batch_.begin_step();
    base::duration const cost = token_time_ + (computes ? prefill_time_ : base::duration::zero());
    step_timer_ = timers_.after(cost,
                                [this]
                                {
                                    batch_.end_step();
                                    stepping_ = false;
                                    begin_step();
                                });
}

} // namespace savorymount::stand_ins
