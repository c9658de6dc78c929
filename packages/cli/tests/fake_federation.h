#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// What the fake does with the next proposal of a configuration.
enum class ProposalFault {
    None,
    LoseAnswer, ///< Accepts, and cuts off the answer.
    LoseRequest, ///< Cuts off the answer without accepting.
    SayUnknown, ///< Accepts, and answers 503 "unknown".
    SayUnavailable,
};

/// The operators' interface of one node, over loopback.
class FakeFederation {
public:
    FakeFederation();
    ~FakeFederation();
    FakeFederation(const FakeFederation&) = delete;
    FakeFederation& operator=(const FakeFederation&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    void setFaults(std::vector<ProposalFault> faults);
    void setDocument(std::uint64_t version, std::string document);

    /// The document that another operator brings in force just before the next proposal arrives.
    void setRival(std::string document);

    /// Nodes report this version, whatever is in force, from now on.
    void pinReportedVersion(std::uint64_t version);

    std::uint64_t version();
    std::string document();

    /// Bodies of the changes that arrived, and their paths.
    std::vector<std::pair<std::string, nlohmann::json>> changes();

private:
    void route();
    void propose(const httplib::Request& request, httplib::Response& response);
    void record(const httplib::Request& request, httplib::Response& response, const nlohmann::json& answer);
    nlohmann::json status();

    httplib::Server m_server;
    int m_port { 0 };
    std::thread m_thread;
    std::mutex m_mutex;
    std::uint64_t m_version { 1 };
    std::string m_document;
    std::string m_rival;
    std::uint64_t m_pinnedVersion { 0 };
    std::vector<ProposalFault> m_faults;
    std::map<std::string, std::uint64_t> m_attempts;
    std::vector<std::pair<std::string, nlohmann::json>> m_changes;
};
