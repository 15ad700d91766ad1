// The tables of the operators' configuration: settings of profiles, services and teams.
#pragma once

#include "Config/SettingsTable.h"
#include "Scheduler/Profile.h"
#include "Scheduler/ServiceConfig.h"
#include "Scheduler/TeamConfig.h"

namespace Config {

const SettingsTable<Scheduler::Profile>& profileTable();
const SettingsTable<Scheduler::ServiceConfig>& serviceTable();
const SettingsTable<Scheduler::TeamConfig>& teamTable();

} // namespace Config
