// The tool's commands. Program runs them by name.
#pragma once

#include "Cli/ExitCode.h"

#include <string>

namespace Cli {

struct Session;

ExitCode configCheck(Session&);
ExitCode configApply(Session&);
ExitCode configShow(Session&);
ExitCode configHistory(Session&);
ExitCode configStatus(Session&);
ExitCode configSettings(Session&);
ExitCode sendRequest(Session&);
ExitCode jobSubmit(Session&);
ExitCode jobStatus(Session&);
ExitCode jobList(Session&);
ExitCode jobCancel(Session&);
ExitCode listWorkers(Session&);
ExitCode listHosts(Session&);
ExitCode drainDaemon(Session&);
ExitCode showTimeline(Session&);

/// Runs the command of that name; ExitCode::Usage if there is none.
ExitCode runCommand(const std::string& name, Session&);

} // namespace Cli
