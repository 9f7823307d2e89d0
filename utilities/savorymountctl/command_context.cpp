#include "utilities/savorymountctl/command_context.hpp"

#include "utilities/savorymountctl/text_table.hpp"
#include <savorymount/configuration/schema.hpp>

namespace savorymount::control
{

std::string const& command_context::setting(std::string const& name) const
{
    return line_.settings.text(name);
}

exit_code command_context::fail(exit_code code, std::string const& message)
{
    err_ << "savorymountctl: " << printable(message) << "\n";
    return code;
}

bool command_context::open_log(exit_code& code)
{
    base::error reason;
    if (!client_.use_log(setting("log-plugin"), setting("log-address"), reason))
        code = fail(exit_code::wrong_usage, reason.message);
    else if (!view_.catch_up(reason) || !view_.check_synchronized(reason))
        code = fail(exit_code::failure, reason.message);
    else
        return true;
    return false;
}

bool command_context::check_operator(exit_code& code)
{
    auto const& rule = *configuration::change_schema().find("operator");
    if (configuration::is_valid_text(rule, setting("operator")))
        return true;
    code = fail(exit_code::wrong_usage, "setting operator must be " + describe(rule) +
                                            "; pass --operator or set SAVORYMOUNT_OPERATOR");
    return false;
}

} // namespace savorymount::control
