#include "rattanrack/policy/traffic.h"

namespace rattanrack::policy {

std::string_view name(NotRunReason reason)
{
    switch (reason) {
    case NotRunReason::QueueFull:
        return "queue_full";
    case NotRunReason::QuotaExceeded:
        return "quota_exceeded";
    case NotRunReason::DeadlineTooSoon:
        return "deadline_too_soon";
    case NotRunReason::DeadlinePassed:
        return "deadline_passed";
    case NotRunReason::NeverFits:
        return "never_fits";
    case NotRunReason::UnknownKind:
        return "unknown_kind";
    case NotRunReason::NoWorkers:
        return "no_workers";
    case NotRunReason::Cancelled:
        return "cancelled";
    case NotRunReason::StoreUnavailable:
        return "store_unavailable";
    case NotRunReason::ShuttingDown:
        return "shutting_down";
    case NotRunReason::RetriesExhausted:
        return "retries_exhausted";
    }
    return "internal";
}

} // namespace rattanrack::policy
