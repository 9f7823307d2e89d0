#include "utilities/savorymountctl/operator_commands.hpp"

#include "utilities/savorymountctl/contract_commands.hpp"
#include "utilities/savorymountctl/key_commands.hpp"
#include "utilities/savorymountctl/status_commands.hpp"

namespace savorymount::control
{

exit_code operator_commands::run()
{
    auto const& it = context_.line().operands;
    if (it.size() == 2 && it[0] == "validate")
        return contract_commands(context_).validate(it[1]);
    if (it.size() == 2 && it[0] == "diff")
        return contract_commands(context_).diff(it[1]);
    if (it.size() == 2 && it[0] == "apply")
        return contract_commands(context_).apply(it[1]);
    if (it.size() == 3 && it[0] == "key" && it[1] == "grant")
        return key_commands(context_).grant(it[2]);
    if (it.size() == 3 && it[0] == "key" && it[1] == "withdraw")
        return key_commands(context_).withdraw(it[2]);
    if (it.size() == 1 && it[0] == "status")
        return status_commands(context_).status();
    if (it.size() >= 3 && it[0] == "explain")
        return status_commands(context_).explain_request();
    if (it.size() == 1 && it[0] == "audit")
        return status_commands(context_).audit();
    return context_.fail(exit_code::wrong_usage, "unknown command or wrong number of operands; see "
                                                 "savorymountctl --help");
}

} // namespace savorymount::control
