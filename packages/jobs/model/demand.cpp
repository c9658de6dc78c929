#include "demand.h"

#include <algorithm>
#include <cstddef>

namespace rattanrack::jobs::model {

/// The one that is due first goes first, which meets all demands if any order does.
bool isFeasible(std::vector<Demand> demands, double rate)
{
    std::sort(
        demands.begin(), demands.end(), [](const Demand& left, const Demand& right) { return left.from < right.from; });
    const auto dueLater = [](const Demand& left, const Demand& right) { return left.until > right.until; };
    std::vector<Demand> open;
    std::size_t next = 0;
    TimePoint now {};
    while (next < demands.size() || !open.empty()) {
        if (open.empty())
            now = std::max(now, demands[next].from);
        for (; next < demands.size() && demands[next].from <= now; ++next) {
            open.push_back(demands[next]);
            std::push_heap(open.begin(), open.end(), dueLater);
        }
        std::pop_heap(open.begin(), open.end(), dueLater);
        Demand first = open.back();
        open.pop_back();
        TimePoint end = now + Duration { static_cast<std::int64_t>(first.amount / rate * 1e6) + 1 };
        const bool isInterrupted = next < demands.size() && demands[next].from < end;
        if (isInterrupted)
            end = demands[next].from;
        if (end > first.until)
            return false;
        if (isInterrupted) {
            first.amount -= std::chrono::duration<double> { end - now }.count() * rate;
            open.push_back(first);
            std::push_heap(open.begin(), open.end(), dueLater);
        }
        now = end;
    }
    return true;
}

} // namespace rattanrack::jobs::model
