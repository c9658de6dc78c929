#pragma once

#include "rattanrack/base/ids.h"
#include "rattanrack/base/time.h"
#include "rattanrack/base/units.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace rattanrack::policy {

/// Run times and sizes of each kind of work as its attempts have shown them, because declarations are often far off.
class KindEstimates {
public:
    void recordRunTime(const WorkKind&, Duration);
    void recordUsage(const WorkKind&, const ResourceSize&);

    struct RunTime {
        Duration mean {};
        Duration deviation {}; ///< Standard deviation.
    };

    /// Run time of recent attempts; empty until enough have completed.
    std::optional<RunTime> runTime(const WorkKind&) const;

    /// What an attempt of this kind is expected to need: what it declares, or what the kind uses when that is more.
    ResourceSize size(const WorkKind&, const ResourceSize& declared) const;

private:
    struct Estimate {
        std::uint32_t runs { 0 };
        double meanSeconds { 0 };
        double meanSquare { 0 }; // of seconds
        std::uint32_t reports { 0 };
        double meanMillicores { 0 };
        double meanMebibytes { 0 };
    };

    std::unordered_map<WorkKind, Estimate> m_kinds;
};

} // namespace rattanrack::policy
