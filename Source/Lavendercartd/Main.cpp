// Entry point of the daemon: reads the settings, reports every fault in them, and serves.
#include "Common/Log.h"
#include "Config/DaemonSettings.h"
#include "Daemon/DaemonProcess.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "The daemon's settings: JSON with comments (docs/CONFIGURATION.md)");

namespace {

enum ExitCode {
    Success = 0,
    BadSettings = 2,
    CannotListen = 3,
};

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("lavendercartd --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto text = readFile(FLAGS_settings);
    if (!text) {
        std::cerr << "lavendercartd: can't read the settings file \"" << FLAGS_settings << "\"\n";
        return BadSettings;
    }
    const Config::Checked<Config::DaemonSettings> settings = Config::DaemonSettings::parse(*text);
    if (!settings) {
        std::cerr << "lavendercartd: " << FLAGS_settings << " has faults:\n"
                  << Config::describe(settings.faults()) << "\n";
        return BadSettings;
    }
    Common::initLog(settings->hostName, settings->logLevel);
    Daemon::DaemonProcess process(*settings);
    const Common::Result<uint16_t> port = process.start();
    if (!port) {
        LC_ERROR(Core, "event=cannot-listen address=" << settings->listenAddress << " reason=" << port.reason().detail);
        return CannotListen;
    }
    process.run();
    Common::shutdownLog();
    return Success;
}
