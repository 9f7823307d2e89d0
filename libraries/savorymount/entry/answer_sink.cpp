#include <savorymount/entry/answer_sink.hpp>

namespace savorymount::entry
{

kj::Promise<void> answer_sink::head(HeadContext call)
{
    runtime::http_headers headers;
    for (auto const it : call.getParams().getHeaders())
        headers.push_back({it.getName(), it.getValue()});
    request_->take_head(attempt_, call.getParams().getStatus(), std::move(headers));
    return kj::READY_NOW;
}

kj::Promise<void> answer_sink::chunk(ChunkContext call)
{
    auto const bytes = call.getParams().getBytes();
    return request_->take_chunk(attempt_, call.getParams().getPosition(),
                                {reinterpret_cast<char const*>(bytes.begin()), bytes.size()});
}

} // namespace savorymount::entry
