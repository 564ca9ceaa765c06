#include "Caller.h"

#include <cstdlib>
#include <utility>

namespace Review {

namespace {

// Callers allow a new connection one second.
constexpr Milliseconds connectTimeout{1000};
constexpr Milliseconds patience{500};
constexpr std::string_view idField = "id: ";

}

CallerConnection::CallerConnection(const Address &host)
    : m_connection(Socket::connectTo(host, connectTimeout))
{
}

CallerAnswer CallerConnection::call(const CallerRequest &request)
{
    CallerAnswer answer;
    if (!m_connection.socket().valid()) {
        return answer;
    }
    m_connection.socket().setReceiveTimeout(request.deadline + patience);
    std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.hostName + "\r\nAttempt-Id: " + request.id
        + "\r\nDeadline-Ms: " + std::to_string(request.deadline.count()) + "\r\nAuthorization: Token " + request.key + "\r\n" + request.extraFields
        + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    bytes += request.body;
    if (!m_connection.socket().sendAll(bytes)) {
        return answer;
    }
    const std::optional<HttpHead> head = m_connection.readHead();
    if (!head) {
        return answer;
    }
    answer.status = head->status();
    answer.signedByRunner = !head->field("response-signature").empty();
    answer.answersRequest = head->field("attempt-id") == request.id;
    answer.end = m_connection.readBody(*head, answer.body);
    return answer;
}

CallerAnswer call(const Address &host, const CallerRequest &request)
{
    return CallerConnection(host).call(request);
}

std::vector<std::uint64_t> eventIds(const std::string &stream)
{
    std::vector<std::uint64_t> ids;
    for (std::size_t line = 0; line < stream.size();) {
        const std::size_t end = std::min(stream.find('\n', line), stream.size());
        if (stream.compare(line, idField.size(), idField) == 0) {
            ids.push_back(std::strtoull(stream.c_str() + line + idField.size(), nullptr, 10));
        }
        line = end + 1;
    }
    return ids;
}

std::string describeIds(const std::vector<std::uint64_t> &ids)
{
    std::string text;
    for (std::size_t first = 0; first < ids.size();) {
        std::size_t last = first;
        while (last + 1 < ids.size() && ids[last + 1] == ids[last] + 1) {
            ++last;
        }
        text += (text.empty() ? "" : ",") + std::to_string(ids[first]);
        text += last > first ? "-" + std::to_string(ids[last]) : std::string();
        first = last + 1;
    }
    return text;
}

}
