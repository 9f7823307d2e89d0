#include <openssl/evp.h>

#include <algorithm>
#include <string_view>
#include <tests/stand_ins/users_platform/keyed_topics.hpp>

namespace savorymount::stand_ins
{
namespace
{

// What one answer holds at most: a page of a list, and a page of records.
constexpr std::size_t max_list_items = 500;
constexpr std::size_t max_list_bytes = 1'000'000;
constexpr std::size_t max_page_bytes = std::size_t{1024} * 1024;

std::string encode_base64(std::string const& bytes)
{
    std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                   reinterpret_cast<unsigned char const*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(n));
    return out;
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xff);
    return out;
}

} // namespace

bool keyed_topics::handle(exchange_ptr const& exchange)
{
    auto const target = parse_target(exchange->target());
    if (fault_ == "refuse" && target.path.starts_with("/-/log-"))
    {
        reply(exchange, 503, {});
        return true;
    }
    if (target.path == "/-/log-newest")
        newest(exchange, target);
    else if (target.path == "/-/log-read")
        read(exchange, target);
    else if (target.path == "/-/log-append")
        append(exchange, target);
    else
        return false;
    return true;
}

void keyed_topics::compact()
{
    for (auto const& [topic, all] : topics_)
        first_[topic] = all.size();
}

void keyed_topics::restore(base::duration age)
{
    auto const copied_at = timers_.now() - age;
    ++era_;
    for (auto& [topic, all] : topics_)
    {
        std::erase_if(all, [&](record const& it) { return it.appended_at > copied_at; });
        first_[topic] = std::min(first_[topic], all.size());
        wake_readers(topic);
    }
}

std::set<std::string> keyed_topics::keys(std::string const& topic) const
{
    std::set<std::string> out;
    auto const all = topics_.find(topic);
    if (all == topics_.end())
        return out;
    for (auto const& it : all->second)
    {
        if (it.value.empty())
            out.erase(it.key);
        else
            out.insert(it.key);
    }
    return out;
}

void keyed_topics::append_record(std::string const& topic, std::string key, std::string value)
{
    topics_[topic].push_back({std::move(key), std::move(value), timers_.now()});
}

void keyed_topics::reply(exchange_ptr const& exchange, int status, json const& body) const
{
    exchange->respond(status,
                      {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}},
                      body.dump() + "\n");
}

void keyed_topics::put(std::string const& topic, std::string const& key, std::string const& value)
{
    append_record(topic, key, value);
    wake_readers(topic);
}

void keyed_topics::newest(exchange_ptr const& exchange, request_target const& target)
{
    auto const& all = topics_[target.query.at("topic")];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < all.size(); ++i)
        last[all[i].key] = i;
    auto const after = target.query.find("after");
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto const& [key, offset] : last)
    {
        auto const& value = all[offset].value;
        bool const is_earlier = after != target.query.end() && key <= after->second;
        if (value.empty() || is_earlier)
            continue;
        bytes += key.size() + value.size();
        more = items.size() >= max_list_items || (!items.empty() && bytes > max_list_bytes);
        if (more)
            break;
        items.push_back({{"key", key}, {"value", encode_base64(value)}, {"offset", offset}});
    }
    reply(exchange, 200, {{"items", items}, {"more", more}, {"end", all.size()}});
}

void keyed_topics::read(exchange_ptr const& exchange, request_target const& target)
{
    auto const& topic = target.query.at("topic");
    auto const from = static_cast<std::size_t>(target.number("from", 0));
    if (from < first_[topic] || from > topics_[topic].size())
        reply(exchange, 410, {{"first", first_[topic]}});
    else if (from < topics_[topic].size() || target.number("waitMs", 0) == 0)
        answer_read(exchange, topic, from);
    else
    {
        waiting_.push_back({exchange, topic, from});
        run_after(timers_, std::chrono::milliseconds(target.number("waitMs", 0)),
                  [this, exchange] { end_wait(exchange); });
    }
}

void keyed_topics::end_wait(exchange_ptr const& exchange)
{
    auto const it = std::find_if(waiting_.begin(), waiting_.end(),
                                 [&](auto const& read) { return read.exchange == exchange; });
    if (it == waiting_.end())
        return;
    auto const ended = *it;
    waiting_.erase(it);
    answer_read(ended.exchange, ended.topic, ended.from);
}

void keyed_topics::append(exchange_ptr const& exchange, request_target const& target)
{
    auto const& topic = target.query.at("topic");
    auto& all = topics_[topic];
    if (target.query.contains("at") && target.number("at", 0) != all.size())
    {
        reply(exchange, 412, {{"end", all.size()}});
        return;
    }
    // One record: four bytes of length, one of the key's length, key and value.
    constexpr std::size_t key_length_at = 4;
    std::string_view const body = exchange->body();
    auto const key_length = static_cast<unsigned char>(body.at(key_length_at));
    append_record(topic, std::string(body.substr(key_length_at + 1, key_length)),
                  std::string(body.substr(key_length_at + 1 + key_length)));
    if (fault_ == "lose_appends")
        exchange->abort();
    else
        reply(exchange, 200, {{"offset", all.size() - 1}, {"end", all.size()}});
    wake_readers(topic);
}

void keyed_topics::answer_read(exchange_ptr const& exchange, std::string const& topic,
                               std::size_t from) const
{
    auto const& all = topics_.at(topic);
    if (from > all.size())
    {
        reply(exchange, 410, {{"first", 0}});
        return;
    }
    std::string body = big_endian(all.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < all.size(); ++i)
    {
        auto const& it = all[i];
        bool const is_first = i == from;
        if (!is_first && body.size() + it.key.size() + it.value.size() > max_page_bytes)
            break;
        body += big_endian(1 + it.key.size() + it.value.size(), 4);
        body += static_cast<char>(it.key.size());
        body += it.key + it.value;
    }
    exchange->respond(200, {{"Store-Era", std::to_string(era_)}}, body);
}

void keyed_topics::wake_readers(std::string const& topic)
{
    auto const first = std::stable_partition(waiting_.begin(), waiting_.end(),
                                             [&](auto const& it) { return it.topic != topic; });
    std::vector<waiting_read> const ready(first, waiting_.end());
    waiting_.erase(first, waiting_.end());
    for (auto const& it : ready)
        answer_read(it.exchange, it.topic, it.from);
}

} // namespace savorymount::stand_ins
