#include <savorymount/base/digest.hpp>
#include <savorymount/routing/prompt_prefix.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace savorymount::routing
{
namespace
{

using json = nlohmann::json;

/// One message; its text is separate from everything else that the engine renders with it.
struct parsed_message
{
    std::string role;
    std::string text;
    /// Names, tool calls and non-text content parts, in the order of the body.
    std::string non_text;
};

/// Collects the messages of a body without building a JSON document. nlohmann's SAX parser keeps
/// its stack on the heap, so deep nesting can't overflow the call stack.
class message_reader : public nlohmann::json_sax<json>
{
public:
    explicit message_reader(std::size_t max_depth) : max_depth_(max_depth) {}

    bool null() override { return append_scalar("null"); }
    bool boolean(bool value) override { return append_scalar(value ? "true" : "false"); }
    bool number_integer(number_integer_t value) override
    {
        return append_scalar(std::to_string(value));
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return append_scalar(std::to_string(value));
    }
    bool number_float(number_float_t /*value*/, string_t const& text) override
    {
        return append_scalar(text);
    }
    bool string(string_t& value) override
    {
        if (std::string* it = text_target())
        {
            it->append(value);
            return true;
        }
        return append_scalar(value);
    }
    bool binary(binary_t& /*value*/) override { return false; }

    bool start_object(std::size_t /*elements*/) override
    {
        if (!open_container('{'))
            return false;
        if (in_messages_ && depth_ == message_depth)
            messages_.emplace_back();
        return true;
    }
    bool key(string_t& value) override
    {
        if (depth_ == 1)
        {
            top_level_key_ = value;
            in_messages_ = value == "messages";
            // As in most JSON parsers, the last of several equal keys wins.
            if (in_messages_)
                messages_.clear();
            return true;
        }
        if (in_messages_ && depth_ == message_depth)
        {
            message_field_ = value;
            // Their values are stored separately, so that the order of the fields doesn't matter.
            if (value == "role" || value == "content")
                return true;
        }
        if (in_messages_ && depth_ == content_part_depth)
            content_part_field_ = value;
        append_non_text(value);
        return true;
    }
    bool end_object() override { return close_container('}'); }
    bool start_array(std::size_t /*elements*/) override { return open_container('['); }
    bool end_array() override { return close_container(']'); }

    bool parse_error(std::size_t position, std::string const& /*token*/,
                     nlohmann::detail::exception const& /*exception*/) override
    {
        error_position_ = position;
        return false;
    }

    bool too_deep() const { return too_deep_; }
    std::size_t error_position() const { return error_position_; }
    std::vector<parsed_message> const& messages() const { return messages_; }
    std::string const& tools() const { return tools_; }

private:
    /// Nesting depth inside `{"messages":[{` and inside `{"messages":[{"content":[{`.
    static constexpr std::size_t message_depth = 3;
    static constexpr std::size_t content_part_depth = 5;

    bool open_container(char bracket)
    {
        if (depth_ == max_depth_)
        {
            too_deep_ = true;
            return false;
        }
        if (depth_ > message_depth || (depth_ == message_depth && message_field_ != "content"))
            append_non_text({&bracket, 1});
        ++depth_;
        return true;
    }

    bool close_container(char bracket)
    {
        --depth_;
        if (depth_ > message_depth || (depth_ == message_depth && message_field_ != "content"))
            append_non_text({&bracket, 1});
        return true;
    }

    /// Returns the string that the current role or text value belongs to, or null for other values.
    std::string* text_target()
    {
        if (!in_messages_ || messages_.empty())
            return nullptr;
        if (depth_ == message_depth && message_field_ == "role")
            return &messages_.back().role;
        if (message_field_ != "content")
            return nullptr;
        bool const plain = depth_ == message_depth;
        bool const part = depth_ == content_part_depth && content_part_field_ == "text";
        return plain || part ? &messages_.back().text : nullptr;
    }

    bool append_scalar(std::string_view value)
    {
        append_non_text(value);
        return true;
    }

    /// Appends a value to the non-text data of the current message or to the tools.
    void append_non_text(std::string_view value)
    {
        std::string* it = nullptr;
        if (in_messages_ && depth_ >= message_depth && !messages_.empty())
            it = &messages_.back().non_text;
        if (!in_messages_ && depth_ >= 1 && top_level_key_ == "tools")
            it = &tools_;
        if (it == nullptr)
            return;
        it->append(value);
        it->push_back('\0');
    }

    std::size_t max_depth_;
    std::size_t depth_ = 0;
    bool in_messages_ = false;
    bool too_deep_ = false;
    std::size_t error_position_ = 0;
    std::string top_level_key_;
    std::string message_field_;
    std::string content_part_field_;
    std::string tools_;
    std::vector<parsed_message> messages_;
};

std::uint64_t seed_digest(prefix_seed const& seed, std::string const& tools)
{
    std::uint64_t out = base::chain_digest(0, seed.workspace);
    out = base::chain_digest(out, seed.model);
    out = base::chain_digest(out, seed.adapter);
    out = base::chain_digest(out, seed.version);
    // Chat templates render the tools before the first message.
    return base::chain_digest(out, tools);
}

void append_message(parsed_message const& message, prefix_limits const& limits,
                    std::uint64_t& parent, prompt_prefix& out)
{
    out.text_bytes += message.text.size();
    std::uint64_t digest = base::chain_digest(parent, message.role);
    digest = base::chain_digest(digest, message.non_text);
    std::string_view remaining_text = message.text;
    do
    {
        if (out.digests.size() == limits.max_blocks)
        {
            out.truncated = true;
            return;
        }
        std::string_view const block = remaining_text.substr(0, limits.max_block_bytes);
        remaining_text.remove_prefix(block.size());
        digest = base::chain_digest(digest, block);
        out.digests.push_back(digest);
        out.block_bytes.push_back(static_cast<std::uint32_t>(block.size()));
    } while (!remaining_text.empty());
    parent = digest;
    out.message_ends.push_back(static_cast<std::uint32_t>(out.digests.size()));
}

} // namespace

std::optional<prompt_prefix> parse_prompt_prefix(std::string_view body, prefix_seed const& seed,
                                                 prefix_limits const& limits, base::error& reason)
{
    if (body.size() > limits.max_body_bytes)
    {
        reason = {base::error_kind::too_large, "The body has " + std::to_string(body.size()) +
                                                   " bytes; send at most " +
                                                   std::to_string(limits.max_body_bytes) + "."};
        return std::nullopt;
    }
    message_reader reader(limits.max_depth);
    if (!json::sax_parse(body, &reader))
    {
        if (reader.too_deep())
            reason = {base::error_kind::too_large, "The body nests values deeper than " +
                                                       std::to_string(limits.max_depth) +
                                                       " levels; flatten it."};
        else
            reason = {base::error_kind::invalid_input, "The body isn't JSON (error near byte " +
                                                           std::to_string(reader.error_position()) +
                                                           "); send a JSON object."};
        return std::nullopt;
    }
    if (reader.messages().empty())
    {
        reason = {base::error_kind::invalid_input,
                  "The body has no messages; send an object with a non-empty array \"messages\"."};
        return std::nullopt;
    }
    prompt_prefix out;
    std::uint64_t parent = seed_digest(seed, reader.tools());
    for (parsed_message const& it : reader.messages())
        append_message(it, limits, parent, out);
    return out;
}

std::size_t blocks_within(prompt_prefix const& prefix, std::uint64_t tokens, double bytes_per_token)
{
    double remaining_bytes = static_cast<double>(tokens) * bytes_per_token;
    std::size_t blocks = 0;
    for (std::uint32_t bytes : prefix.block_bytes)
    {
        remaining_bytes -= bytes;
        if (remaining_bytes < 0)
            return blocks;
        ++blocks;
    }
    return blocks;
}

} // namespace savorymount::routing
