// Where the records of cells and jobs lie in the store.
#pragma once

#include "Cells/CellId.h"
#include "Common/Ids.h"

#include <string>

namespace Cells::StoreKeys {

inline constexpr const char* root = "lavendercart/";
inline constexpr const char* layout = "lavendercart/layout";
inline constexpr const char* cells = "lavendercart/cell/";

inline std::string cell(const CellId& id) { return cells + id.value(); }
/// The workers on which tasks of the cell may run.
inline std::string cellWorkers(const CellId& id) { return "lavendercart/workers/" + id.value(); }
/// Names the cell that a job belongs to. Created once, with the job.
inline std::string jobPlace(const Common::JobId& id) { return "lavendercart/place/" + id.value(); }
inline std::string jobs(const CellId& id) { return "lavendercart/job/" + id.value() + "/"; }
inline std::string job(const CellId& cell, const Common::JobId& id) { return jobs(cell) + id.value(); }

} // namespace Cells::StoreKeys
