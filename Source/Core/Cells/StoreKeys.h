// Keys of the records of cells and jobs in the store.
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
/// Record of the workers on which tasks of the cell may run.
inline std::string cellWorkers(const CellId& id) { return "lavendercart/workers/" + id.value(); }
/// Location record: names the cell that a job belongs to. Created once, together with the job.
inline std::string jobLocation(const Common::JobId& id) { return "lavendercart/place/" + id.value(); }
inline std::string jobs(const CellId& id) { return "lavendercart/job/" + id.value() + "/"; }
inline std::string job(const CellId& cell, const Common::JobId& id) { return jobs(cell) + id.value(); }
/// The cell's pressure estimates: which images disturb each other. Under the prefix of the cell's jobs, so that one
/// listing returns both.
inline std::string pressureEstimates(const CellId& id) { return jobs(id) + "beliefs"; }
inline constexpr const char* transferMarker = "/from/";
/// A transfer of tasks of the job to the cell `to`. Under the prefix of that cell's jobs, so that one listing returns
/// both.
inline std::string transfer(const CellId& to, const Common::JobId& id, const CellId& from, uint32_t number)
{
    return job(to, id) + transferMarker + from.value() + "/" + std::to_string(number);
}
inline bool isTaskTransfer(const std::string& key) { return key.find(transferMarker) != std::string::npos; }

} // namespace Cells::StoreKeys
