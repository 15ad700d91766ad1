// Encodes each pressure estimate as a row of backfill image, service image, pressure and variance.
#include "Cells/PressureEstimateCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    /// Pressure estimates are rounded to a hundredth.
    constexpr double stepsPerUnit = 100;

    double rounded(double value) { return std::round(value * stepsPerUnit) / stepsPerUnit; }

} // namespace

Json pressureEstimatesToJson(const std::vector<Policy::TailLatencyModel::PressureEstimate>& pressureEstimates)
{
    Json rows = Json::array();
    for (const Policy::TailLatencyModel::PressureEstimate& estimate : pressureEstimates)
        rows.push_back(Json::array({ estimate.backfill, estimate.service, rounded(estimate.pressure),
            std::max(rounded(estimate.variance), 1 / stepsPerUnit) }));
    return rows;
}

std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimatesFromJson(const Json& rows)
{
    std::vector<Policy::TailLatencyModel::PressureEstimate> pressureEstimates;
    for (const Json& row : rows)
        pressureEstimates.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(),
            row.at(2).get<double>(), row.at(3).get<double>() });
    return pressureEstimates;
}

} // namespace Cells
