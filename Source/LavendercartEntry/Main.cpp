// Entry point of an entry host's process: reads the settings, reports every fault in them, and serves.
#include "Common/Log.h"
#include "Config/EntrySettings.h"
#include "LavendercartEntry/EntryProcess.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(settings, "", "The process's settings: JSON with comments (docs/CONFIGURATION.md)");

namespace {

enum ExitCode {
    Success = 0,
    BadSettings = 2,
    CannotListen = 3,
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("lavendercart-entry --settings FILE");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_settings);
    if (!file) {
        std::cerr << "lavendercart-entry: can't read the settings file \"" << FLAGS_settings << "\"\n";
        return BadSettings;
    }
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    const Config::Checked<Config::EntrySettings> settings = Config::EntrySettings::parse(text);
    if (!settings) {
        std::cerr << "lavendercart-entry: " << FLAGS_settings << " has faults:\n"
                  << Config::describe(settings.faults()) << "\n";
        return BadSettings;
    }
    Common::initBoundedLog(settings->hostName, settings->logLevel);
    Entry::EntryProcess process(*settings, FLAGS_settings);
    if (const auto started = process.start(); !started) {
        LC_ERROR(Core, "event=cannot-listen reason=" << started.reason().detail);
        return CannotListen;
    }
    process.run();
    Common::shutdownLog();
    return Success;
}
