#pragma once

// The platform's store: keyed topics of one partition, as PROTOCOL.md describes them.

#include "http.hpp"

#include <condition_variable>
#include <map>

namespace review
{

inline std::string query_value(std::string const& target, std::string const& name)
{
    auto const at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    auto const begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

inline std::string base64(std::string const& bytes)
{
    static char const* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? (unsigned char)bytes[i + j] : 0);
        for (int j = 0; j < 4; ++j)
            out += i + static_cast<std::size_t>(j) > bytes.size() ? '='
                                                                   : digits[group >> (18 - 6 * j) & 63];
    }
    return out;
}

inline std::string big_endian(std::uint64_t number, int bytes)
{
    std::string out;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        out += static_cast<char>(number >> shift & 0xff);
    return out;
}

class store
{
public:
    struct record
    {
        std::string key;
        std::string value;
    };

    /// Called when a read by `caller` has been executed, before its answer is sent.
    using read_hook = std::function<void(std::string const& caller, std::string const& topic,
                                         std::vector<record> const& found)>;

    static constexpr double answer_ms = 4;

    void on_read(read_hook hook) { read_hook_ = std::move(hook); }

    /// From now on the store turns this caller away with 503, or serves it again.
    void turn_away(std::string const& caller, bool away)
    {
        std::lock_guard const lock(mutex_);
        if (away)
            turned_away_.insert(caller);
        else
            turned_away_.erase(caller);
        changed_.notify_all();
    }

    /// Opens an address at which the store knows its caller by name.
    std::string address_for(std::string const& caller)
    {
        servers_.push_back(std::make_unique<server>(
            [this, caller](connection& to, head const& request, std::string const& body)
            { handle(caller, to, request, body); }));
        return servers_.back()->address();
    }

    /// Appends a record; an empty value removes its key.
    void put(std::string const& topic, std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

private:
    void handle(std::string const& caller, connection& to, head const& request,
                std::string const& body)
    {
        auto const target = request.target();
        auto const topic = query_value(target, "topic");
        if (is_turned_away(caller))
        {
            sleep_ms(answer_ms);
            to.send(response(503, {}, ""));
        }
        else if (target.rfind("/-/log-append", 0) == 0)
            append(to, topic, query_value(target, "at"), body);
        else if (target.rfind("/-/log-read", 0) == 0)
            read(caller, to, topic, std::strtoull(query_value(target, "from").c_str(), nullptr, 10),
                 std::atof(query_value(target, "waitMs").c_str()));
        else if (target.rfind("/-/log-newest", 0) == 0)
            newest(caller, to, topic, query_value(target, "after"));
        else
            to.send(response(404, {}, ""));
    }

    bool is_turned_away(std::string const& caller)
    {
        std::lock_guard const lock(mutex_);
        return turned_away_.contains(caller);
    }

    void append(connection& to, std::string const& topic, std::string const& at, std::string body)
    {
        sleep_ms(answer_ms);
        std::lock_guard const lock(mutex_);
        auto& all = topics_[topic];
        auto const offset = all.size();
        if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != offset)
        {
            to.send(response(412, json_, "{\"end\":" + std::to_string(offset) + "}"));
            return;
        }
        while (body.size() >= 5)
        {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | (unsigned char)body[static_cast<std::size_t>(i)];
            std::size_t const key = (unsigned char)body[4];
            all.push_back({body.substr(5, key), body.substr(5 + key, length - 1 - key)});
            body.erase(0, 4 + length);
        }
        changed_.notify_all();
        to.send(response(200, json_, "{\"offset\":" + std::to_string(offset) +
                                         ",\"end\":" + std::to_string(all.size()) + "}"));
    }

    void read(std::string const& caller, connection& to, std::string const& topic,
              std::size_t from, double wait_ms)
    {
        sleep_ms(answer_ms);
        std::vector<record> found;
        std::size_t end = 0;
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms),
                              [&] { return topics_[topic].size() > from; });
            auto const& all = topics_[topic];
            end = all.size();
            if (from < end)
                found.assign(all.begin() + static_cast<std::ptrdiff_t>(from), all.end());
        }
        auto body = big_endian(end, 8) + big_endian(0, 8);
        for (auto const& it : found)
            body += big_endian(1 + it.key.size() + it.value.size(), 4) +
                    big_endian(it.key.size(), 1) + it.key + it.value;
        if (read_hook_)
            read_hook_(caller, topic, found);
        to.send(response(200, {{"Content-Type", "application/octet-stream"}}, body));
    }

    void newest(std::string const& caller, connection& to, std::string const& topic,
                std::string const& after)
    {
        sleep_ms(answer_ms);
        std::map<std::string, std::pair<std::size_t, std::string>> found;
        std::size_t end = 0;
        {
            std::lock_guard const lock(mutex_);
            auto const& all = topics_[topic];
            end = all.size();
            for (std::size_t i = 0; i < all.size(); ++i)
            {
                if (all[i].value.empty())
                    found.erase(all[i].key);
                else
                    found[all[i].key] = {i, all[i].value};
            }
        }
        std::string items;
        for (auto const& [key, it] : found)
        {
            if (key > after)
                items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
                         "\",\"value\":\"" + base64(it.second) +
                         "\",\"offset\":" + std::to_string(it.first) + "}";
        }
        (void)caller;
        to.send(response(200, json_, "{\"items\":[" + items + "],\"more\":false,\"end\":" +
                                         std::to_string(end) + "}"));
    }

    headers const json_{{"Content-Type", "application/json"}};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<record>> topics_;
    std::set<std::string> turned_away_;
    std::vector<std::unique_ptr<server>> servers_;
    read_hook read_hook_;
};

} // namespace review
