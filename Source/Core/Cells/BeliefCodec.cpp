// Rows of backfill image, service image, pressure and variance.
#include "Cells/BeliefCodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Cells {

namespace {

    using Json = nlohmann::json;

    /// Beliefs are told to a hundredth.
    constexpr double roundedTo = 100;

    double rounded(double value) { return std::round(value * roundedTo) / roundedTo; }

} // namespace

Json beliefsToJson(const std::vector<Policy::TailModel::Belief>& beliefs)
{
    Json rows = Json::array();
    for (const Policy::TailModel::Belief& belief : beliefs)
        rows.push_back(Json::array({ belief.backfill, belief.service, rounded(belief.pressure),
            std::max(rounded(belief.variance), 1 / roundedTo) }));
    return rows;
}

std::vector<Policy::TailModel::Belief> beliefsFromJson(const Json& rows)
{
    std::vector<Policy::TailModel::Belief> beliefs;
    for (const Json& row : rows)
        beliefs.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(), row.at(2).get<double>(),
            row.at(3).get<double>() });
    return beliefs;
}

} // namespace Cells
