// Encodes each pressure estimate as a row of backfill image, service image, pressure and variance.
#include "Cells/PressureEstimateCodec.h"

#include "Common/JsonField.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    using Common::JsonField;

    /// Of a pressure and of its variance; both are around 1.
    constexpr double maximumPressure = 1e9;
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
    for (const Json& element : JsonField(rows, "the pressure estimates").list()) {
        const JsonField row(element, "a pressure estimate");
        pressureEstimates.push_back({ row.element(0).text(), row.element(1).text(),
            row.element(2).number(-maximumPressure, maximumPressure), row.element(3).number(0, maximumPressure) });
    }
    return pressureEstimates;
}

} // namespace Cells
