#pragma once

#include "rattanrack/node/burn_service.h"
#include "rattanrack/node/control_loop.h"
#include "rattanrack/node/coordination_service.h"
#include "rattanrack/node/fleet_service.h"
#include "rattanrack/node/traffic_service.h"

#include <functional>
#include <string>
#include <utility>

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace rattanrack::node {

/// The operators' HTTP interface; docs/API-operators.md describes it. Calls read and change control state on the
/// control thread; the HTTP thread waits.
class AdminApi {
public:
    struct Parts {
        ControlLoop& control;
        const Clock& clock;
        CoordinationService& coordination;
        FleetService& fleet;
        TrafficService& traffic;
        BurnService& burn;
        platform::Table& table;
        NodeId self;
    };

    explicit AdminApi(Parts parts)
        : m_parts(std::move(parts))
    {
    }

    /// Adds the routes. This object must outlive the server's threads.
    void addRoutes(httplib::Server& server);

private:
    void status(httplib::Response& response);
    void configuration(httplib::Response& response);
    void propose(const httplib::Request& request, httplib::Response& response);
    void findAttempt(const httplib::Request& request, httplib::Response& response);
    void operate(const httplib::Request& request, httplib::Response& response);
    void startRollOut(const httplib::Request& request, httplib::Response& response);
    void changeRollOut(const httplib::Request& request, httplib::Response& response);
    void reportBurn(httplib::Response& response);
    void explainVm(const httplib::Request& request, httplib::Response& response);
    void explainRequest(const httplib::Request& request, httplib::Response& response);

    /// Decides on the control thread and commits the decision. Returns the HTTP status and the texts of the response.
    using Decide = std::function<policy::CommandAnswer(const policy::FleetSnapshot&, const AttemptId&)>;
    struct DecisionOutcome {
        int status { 500 };
        std::string result;
        std::string reason;
    };
    DecisionOutcome decideAndCommit(const Decide& decide, const AttemptId& attempt);

    Parts m_parts;
};

} // namespace rattanrack::node
