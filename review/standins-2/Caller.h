#pragma once

#include "HttpConnection.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Review {

struct CallerRequest {
    std::string id; ///< Attempt-Id.
    std::string method = "POST";
    std::string hostName;
    std::string path;
    std::string key; ///< Of the tenant.
    Milliseconds deadline{};
    std::string extraFields; ///< Whole lines of the head.
    std::string body;
};

struct CallerAnswer {
    int status = 0; ///< 0 if the connection ended without a head.
    bool signedByRunner = false;
    bool answersRequest = false; ///< Whether it names the request.
    BodyEnd end = BodyEnd::BrokenOff;
    std::string body;
};

/**
 * \class CallerConnection
 * \brief A connection of a caller, kept for several requests.
 */
class CallerConnection
{
public:
    explicit CallerConnection(const Address &host);

    /// Sends a request and reads its answer.
    CallerAnswer call(const CallerRequest &request);

private:
    HttpConnection m_connection;
};

/// Sends one request on a new connection and reads its answer.
CallerAnswer call(const Address &host, const CallerRequest &request);

/// The ids of the events of a stream, in their order.
std::vector<std::uint64_t> eventIds(const std::string &stream);

/// The ids as text, with ranges: 1-4,7-9.
std::string describeIds(const std::vector<std::uint64_t> &ids);

}
