// Picks one row for each worker.
#include "Cli/WorkerMerge.h"

#include "Cli/Report.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace Cli {

std::vector<nlohmann::json> mergeWorkers(const std::vector<nlohmann::json>& answers)
{
    std::map<std::string, nlohmann::json> byName;
    for (const nlohmann::json& answer : answers) {
        for (const nlohmann::json& worker : listMember(answer, "workers")) {
            nlohmann::json& row = byName[textMember(worker, "worker")];
            if (row.is_null() || (boolMember(worker, "owned") && !boolMember(row, "owned")))
                row = worker;
        }
    }
    std::vector<nlohmann::json> merged;
    merged.reserve(byName.size());
    for (const auto& [name, row] : byName)
        merged.push_back(row);
    return merged;
}

} // namespace Cli
