// Tests that the page of settings and the example files agree with the tables in the code.
#include "Config/SettingsPage.h"

#include "Config/ClusterConfigParser.h"
#include "Config/DaemonSettings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace {

std::filesystem::path root()
{
    return std::filesystem::path(__FILE__).parent_path().parent_path().parent_path().parent_path();
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    REQUIRE_MESSAGE(file, path);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

TEST_CASE("docs/CONFIGURATION.md holds every setting as the code declares it")
{
    const std::string page = readFile(root() / "docs" / "CONFIGURATION.md");
    // To update the page, paste the output of `lavendercart config settings`.
    CHECK(page.find(Config::settingsPage()) != std::string::npos);
}

TEST_CASE("the example files have no faults")
{
    const auto cluster = Config::parseClusterConfig(readFile(root() / "Data" / "cluster.json"));
    CHECK_MESSAGE(cluster, describe(cluster.faults()));
    size_t daemons = 0;
    for (const auto& entry : std::filesystem::directory_iterator(root() / "Data")) {
        const std::string name = entry.path().filename().string();
        if (name.compare(0, 7, "daemon-") != 0)
            continue;
        CAPTURE(name);
        const auto settings = Config::DaemonSettings::parse(readFile(entry.path()));
        REQUIRE_MESSAGE(settings, describe(settings.faults()));
        CHECK(name == "daemon-" + settings->hostName + ".json");
        ++daemons;
    }
    CHECK(daemons == 3);
}
