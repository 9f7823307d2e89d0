#include <savorymount/entry/entry.hpp>
#include <savorymount/runtime/daemon.hpp>

int main(int argc, char** argv)
{
    using namespace savorymount;
    return runtime::run_daemon(
        "savorymount-entry", SAVORYMOUNT_VERSION, argc, argv, entry::declare_entry_settings,
        entry::parse_entry_settings,
        [](auto const& settings, runtime::settings_origin const&, base::error& reason)
        { return entry::entry::make(settings, reason); });
}
