// Where the records of cells and jobs lie in the store.
#pragma once

#include "Cells/CellId.h"
#include "Common/Ids.h"

#include <cstdint>
#include <string>

namespace Cells::StoreKeys {

inline constexpr const char* root = "lavendercart/";
inline constexpr const char* layout = "lavendercart/layout";
inline constexpr const char* cells = "lavendercart/cell/";

inline std::string cell(const CellId& id) { return cells + id.value(); }
/// The workers on which tasks of the cell may run.
inline std::string cellWorkers(const CellId& id) { return "lavendercart/workers/" + id.value(); }
/// Names the cell that a job belongs to. Created once, with the job.
inline std::string jobLocation(const Common::JobId& id) { return "lavendercart/place/" + id.value(); }
inline std::string jobs(const CellId& id) { return "lavendercart/job/" + id.value() + "/"; }
inline std::string job(const CellId& cell, const Common::JobId& id) { return jobs(cell) + id.value(); }
/// What was learned of images that disturb each other. Listed with the cell's jobs.
inline std::string pressureEstimates(const CellId& id) { return jobs(id) + "beliefs"; }
inline constexpr const char* transferMarker = "/from/";
/// Tasks of the job that the cell `to` is given. Listed with its jobs.
inline std::string transfer(const CellId& to, const Common::JobId& id, const CellId& from, uint32_t number)
{
    return job(to, id) + transferMarker + from.value() + "/" + std::to_string(number);
}
inline bool isTaskTransfer(const std::string& key) { return key.find(transferMarker) != std::string::npos; }

} // namespace Cells::StoreKeys
