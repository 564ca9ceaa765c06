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

CallerAnswer call(const Address &host, const CallerRequest &request)
{
    CallerAnswer answer;
    Socket socket = Socket::connectTo(host, connectTimeout);
    if (!socket.valid()) {
        return answer;
    }
    socket.setReceiveTimeout(request.deadline + patience);
    HttpConnection connection(std::move(socket));
    std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.hostName + "\r\nAttempt-Id: " + request.id
        + "\r\nDeadline-Ms: " + std::to_string(request.deadline.count()) + "\r\nAuthorization: Token " + request.key + "\r\n" + request.extraFields
        + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    bytes += request.body;
    if (!connection.socket().sendAll(bytes)) {
        return answer;
    }
    const std::optional<HttpHead> head = connection.readHead();
    if (!head) {
        return answer;
    }
    answer.status = head->status();
    answer.signedByRunner = !head->field("response-signature").empty();
    answer.answersRequest = head->field("attempt-id") == request.id;
    answer.end = connection.readBody(*head, answer.body);
    return answer;
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
