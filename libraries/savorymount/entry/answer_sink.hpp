#pragma once

#include <savorymount/entry/entry_request.hpp>
#include <savorymount/wire/savorymount.capnp.h>

#include <memory>

namespace savorymount::entry
{

/// Receives one attempt's answer from an agent. Parts of an attempt that has been replaced are
/// dropped by their attempt number, so that late answers never mix with newer ones.
class answer_sink final : public wire::AnswerSink::Server
{
public:
    answer_sink(std::shared_ptr<entry_request> request, unsigned attempt)
        : request_(std::move(request)), attempt_(attempt)
    {
    }

protected:
    kj::Promise<void> head(HeadContext call) override;
    kj::Promise<void> chunk(ChunkContext call) override;

private:
    std::shared_ptr<entry_request> request_;
    unsigned attempt_;
};

} // namespace savorymount::entry
