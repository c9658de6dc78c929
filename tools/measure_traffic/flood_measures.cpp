#include "measure_line.h"
#include "measures.h"

namespace rattanrack::measure {
const User& lindmayr()
{
    static const User s_user { "lindmayr", 3, 64'000, { "office", "fitting", "curl", "hair", "dye" },
        { "fitting-check", "fitting-check-2", "curl-check", "hair-check", "dye-check" },
        { "office-plan", "fitting-plan", "curl-plan", "ventilation-run", "dye-match" }, 4 };
    return s_user;
}
const User& namiotech()
{
    static const User s_user { "namiotech", 4, 32'000, { "desk", "load", "canvas", "roster", "route" },
        { "desk-check", "load-check", "canvas-check", "roster-check", "route-check" },
        { "desk-plan", "load-plan", "canvas-plan", "crew-roster", "route-booking" }, 8 };
    return s_user;
}
void measureFloods(const User&) { }
} // namespace rattanrack::measure
