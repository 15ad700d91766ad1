// Names of journal events as they appear in the journal.
#include "StandIns/JournalEntry.h"

namespace StandIns {

std::string_view journalEventName(JournalEvent event)
{
    switch (event) {
    case JournalEvent::Start:
        return "start";
    case JournalEvent::Stop:
        return "stop";
    case JournalEvent::Finish:
        return "finish";
    case JournalEvent::Fail:
        return "fail";
    case JournalEvent::Peak:
        return "peak";
    }
    return "unknown";
}

} // namespace StandIns
