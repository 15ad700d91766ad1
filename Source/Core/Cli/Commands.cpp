// Maps each command's name to its function.
#include "Cli/Commands.h"

#include <map>

namespace Cli {

ExitCode runCommand(const std::string& name, Session& session)
{
    static const std::map<std::string, ExitCode (*)(Session&)> commands {
        { "config check", configCheck },
        { "config apply", configApply },
        { "config show", configShow },
        { "config history", configHistory },
        { "config status", configStatus },
        { "config settings", configSettings },
        { "request", sendRequest },
        { "job submit", jobSubmit },
        { "job status", jobStatus },
        { "job list", jobList },
        { "job cancel", jobCancel },
        { "workers", listWorkers },
        { "hosts", listHosts },
        { "drain", drainDaemon },
        { "timeline", showTimeline },
    };
    const auto found = commands.find(name);
    return found == commands.end() ? ExitCode::Usage : found->second(session);
}

} // namespace Cli
