#include <algorithm>
#include <tests/stand_ins/engine/batch.hpp>
#include <utility>

namespace savorymount::stand_ins
{

batch::batch(std::size_t slots, std::size_t block_tokens, batch_hooks hooks)
    : slots_(slots), block_tokens_(block_tokens), hooks_(std::move(hooks))
{
}

void batch::add(chat_request request)
{
    auto const place = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](running_request const& it)
                                    { return it.request.priority < request.priority; });
    running_request added;
    added.position = request.resume_from;
    added.request = std::move(request);
    waiting_.insert(place, std::move(added));
}

bool batch::cancel(std::string const& id)
{
    auto const matches = [&](running_request const& it)
    {
        return it.request.id == id;
    };
    return waiting_.remove_if(matches) + running_.remove_if(matches) > 0;
}

bool batch::begin_step()
{
    fill_slots();
    return compute_block();
}

void batch::end_step()
{
    for (auto it = running_.begin(); it != running_.end();)
    {
        auto const next = std::next(it);
        if (it->computed_blocks >= prefill_blocks(*it) && emit_token(*it))
            running_.erase(it);
        it = next;
    }
}

void batch::fill_slots()
{
    while (running_.size() < slots_ && !waiting_.empty())
    {
        running_.splice(running_.end(), waiting_, waiting_.begin());
        running_request& it = running_.back();
        it.cached_blocks = hooks_.begin(it);
        it.computed_blocks = it.cached_blocks;
    }
}

bool batch::compute_block()
{
    for (auto& it : running_)
    {
        if (it.computed_blocks >= prefill_blocks(it))
            continue;
        hooks_.computed(it, it.computed_blocks);
        ++it.computed_blocks;
        return true;
    }
    return false;
}

/// Says whether the request has ended.
bool batch::emit_token(running_request& it)
{
    if (!hooks_.ready(it))
        return false;
    if (it.position < it.request.answer_tokens)
    {
        if (!hooks_.token(it))
            return true;
        ++it.position;
    }
    if (it.position < it.request.answer_tokens)
        return false;
    hooks_.finish(it);
    return true;
}

std::size_t batch::prefill_blocks(running_request const& it) const
{
    return it.request.prefill_blocks(block_tokens_);
}

} // namespace savorymount::stand_ins
