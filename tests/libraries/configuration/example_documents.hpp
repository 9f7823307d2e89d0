#pragma once

#include <savorymount/configuration/documents.hpp>

#include <string>

namespace savorymount::configuration::example
{

/// The documents of section 8 of the design page, with a digest for its key.
inline documents::map_type entries()
{
    using nlohmann::json;
    return {
        {"workspaces/counter", json::parse(R"({"workspace":"counter","rate_tokens_per_second":2000,
            "burst_tokens":40000,"weight":1,"routes":["chat","bookings"],
            "keys":[{"id":"k1a2b3c4","salt":"00112233445566778899aabbccddeeff","digest":
            "0000000000000000000000000000000000000000000000000000000000000000"}]})")},
        {"routes/chat", json::parse(R"({"route":"chat","path_prefix":"/v1/chat/completions",
            "group":"model-bench","open":false,"repeatable_methods":["GET"],"kind":"model"})")},
        {"routes/bookings", json::parse(R"({"route":"bookings","path_prefix":"/bookings",
            "group":"tankyard","open":false,"repeatable_methods":["GET","HEAD"],"kind":"plain",
            "cost_tokens":10})")},
        {"groups/model-bench", json::parse(R"({"group":"model-bench","kind":"model",
            "checks_fencing":true,"loading_at_once":3,"models":[{"model":"assay","adapter":"",
            "version":"1","engines":20,"max_answer_tokens":1024}]})")},
        {"groups/tankyard", json::parse(R"({"group":"tankyard","kind":"plain"})")},
        {"system", json::parse(R"({"quarantine_seconds":600,"idempotency_window_seconds":3600})")},
    };
}

inline documents all()
{
    return documents(entries());
}

} // namespace savorymount::configuration::example
