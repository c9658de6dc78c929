#include "measures.h"

namespace rattanrack::measure {

const User& lindmayr()
{
    static const User s_user { .name = "lindmayr",
        .dataCenters = 3,
        .workerMemory = 64'000,
        .pools = { "fitting", "curl", "hair", "dye", "office" },
        .urgentKinds = { "fitting-check", "curl-check", "hair-check", "dye-check", "office-check" },
        .plainKinds = { "fitting-plan", "curl-plan", "ventilation-run", "dye-match", "office-plan" },
        .urgentWeight = 4,
        .seed = 1 };
    return s_user;
}

const User& namiotech()
{
    static const User s_user { .name = "namiotech",
        .dataCenters = 4,
        .workerMemory = 32'000,
        .pools = { "load", "canvas", "roster", "route", "desk" },
        .urgentKinds = { "load-check", "canvas-check", "roster-check", "route-check", "desk-check" },
        .plainKinds = { "load-plan", "canvas-plan", "crew-roster", "route-booking", "desk-plan" },
        .urgentWeight = 8,
        .seed = 2 };
    return s_user;
}

} // namespace rattanrack::measure
