#pragma once

#include "rattanrack/base/time.h"
#include "rattanrack/node/remote_answers.h"
#include "rattanrack/node/thread_shares.h"
#include "rattanrack/node/traffic_service.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}

namespace rattanrack::node {

/// The callers' HTTP interface; docs/API.md describes it.
class CallerApi {
public:
    CallerApi(TrafficService& traffic, RemoteAnswers& remote, ThreadShares& shares, const Clock& clock)
        : m_traffic(traffic)
        , m_remote(remote)
        , m_shares(shares)
        , m_clock(clock)
    {
    }

    /// Adds the routes. This object must outlive the server's threads.
    void addRoutes(httplib::Server& server);

private:
    void submit(const httplib::Request& request, httplib::Response& response);
    void fetch(const httplib::Request& request, httplib::Response& response);
    void cancel(const httplib::Request& request, httplib::Response& response);

    void replyFromOwner(const RequestId& id, bool cancels, Deadline deadline, httplib::Response& response);

    TrafficService& m_traffic;
    RemoteAnswers& m_remote;
    ThreadShares& m_shares;
    const Clock& m_clock;
};

} // namespace rattanrack::node
