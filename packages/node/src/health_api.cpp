#include "rattanrack/node/health_api.h"

#include <httplib.h>

namespace rattanrack::node {

namespace {

constexpr const char* textType = "text/plain; charset=utf-8";
constexpr int statusUnavailable = 503;

} // namespace

void addHealthRoutes(httplib::Server& server, const Readiness& readiness, const Metrics& metrics)
{
    server.Get("/healthz",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("alive\n", textType); });
    server.Get("/readyz", [&readiness](const httplib::Request&, httplib::Response& response) {
        const std::string reasons = readiness.reasons();
        if (!reasons.empty())
            response.status = statusUnavailable;
        response.set_content(reasons.empty() ? "ready\n" : reasons + '\n', textType);
    });
    server.Get("/metrics", [&metrics](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics.exposition(), textType);
    });
}

} // namespace rattanrack::node
