#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tests/stand_ins/stand_in.hpp>
#include <vector>

namespace savorymount::stand_ins
{

/// The keyed topics of the users' metadata store, one partition each, kept in memory.
class keyed_topics
{
public:
    explicit keyed_topics(runtime::event_loop& loop) : timers_(loop) {}

    /// Serves the calls that begin with `/-/log-`. False for any other path.
    bool handle(exchange_ptr const& exchange);

    /// `refuse` answers every call with 503, `lose_appends` carries appends out and breaks the
    /// connection instead of answering; any other word ends both.
    void set_fault(std::string const& fault) { fault_ = fault; }
    /// Drops all records but the newest of each key.
    void compact();

    /// Drops the records of a topic before the offset, but for the newest of each key.
    void trim(std::string const& topic, std::size_t before) { first_[topic] = before; }

    /// Comes back from a copy of the time `age` ago: later records are gone and their offsets are
    /// given out again. The answers carry the next era.
    void restore(base::duration age);

    /// The keys that a topic holds.
    std::set<std::string> keys(std::string const& topic) const;

    /// Appends a record; an empty value drops the key.
    void put(std::string const& topic, std::string const& key, std::string const& value);

private:
    struct record
    {
        std::string key;
        std::string value;
        base::time_point appended_at{};
    };

    struct waiting_read
    {
        exchange_ptr exchange;
        std::string topic;
        std::size_t from;
    };

    void append_record(std::string const& topic, std::string key, std::string value);
    /// Answers with a JSON body and the era.
    void reply(exchange_ptr const& exchange, int status, json const& body) const;
    void newest(exchange_ptr const& exchange, request_target const& target);
    void read(exchange_ptr const& exchange, request_target const& target);
    void append(exchange_ptr const& exchange, request_target const& target);
    void answer_read(exchange_ptr const& exchange, std::string const& topic,
                     std::size_t from) const;
    /// Answers a read that still waits at its time limit without records.
    void end_wait(exchange_ptr const& exchange);
    void wake_readers(std::string const& topic);

    runtime::timer_service timers_;
    std::map<std::string, std::vector<record>> topics_;
    /// First offset that can still be read, by topic.
    std::map<std::string, std::size_t> first_;
    std::uint64_t era_ = 1;
    std::string fault_;
    std::vector<waiting_read> waiting_;
};

} // namespace savorymount::stand_ins
