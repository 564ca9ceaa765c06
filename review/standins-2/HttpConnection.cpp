#include "HttpConnection.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <thread>
#include <utility>

namespace Review {

namespace {

constexpr std::size_t readBytesAtOnce = 64UL * 1024;
constexpr int hexadecimalBase = 16;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

std::size_t bodyLength(const HttpHead &head)
{
    return std::strtoull(head.field("content-length").c_str(), nullptr, 10);
}

std::string wordOf(const std::string &line, int index)
{
    std::size_t begin = 0;
    for (int word = 0; word < index; ++word) {
        begin = line.find(' ', begin);
        if (begin == std::string::npos) {
            return {};
        }
        ++begin;
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

}

std::string HttpHead::field(const std::string &name) const
{
    const auto position = fields.find(name);
    return position == fields.end() ? std::string() : position->second;
}

std::string HttpHead::method() const
{
    return wordOf(startLine, 0);
}

std::string HttpHead::target() const
{
    return wordOf(startLine, 1);
}

int HttpHead::status() const
{
    return std::atoi(wordOf(startLine, 1).c_str());
}

HttpConnection::HttpConnection(Socket socket)
    : m_socket(std::move(socket))
{
}

Socket &HttpConnection::socket()
{
    return m_socket;
}

std::optional<HttpHead> HttpConnection::readHead()
{
    HttpHead head;
    if (!readLine(head.startLine)) {
        return std::nullopt;
    }
    std::string line;
    while (readLine(line)) {
        if (line.empty()) {
            return head;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        head.fields[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
    }
    return std::nullopt;
}

BodyEnd HttpConnection::readBody(const HttpHead &head, std::string &body)
{
    if (lowerCase(head.field("transfer-encoding")) == "chunked") {
        return readChunks(body);
    }
    return readBytes(bodyLength(head), &body, 0) ? BodyEnd::Complete : BodyEnd::BrokenOff;
}

BodyEnd HttpConnection::skipBody(const HttpHead &head, std::size_t bytesPerSecond)
{
    return readBytes(bodyLength(head), nullptr, bytesPerSecond) ? BodyEnd::Complete : BodyEnd::BrokenOff;
}

bool HttpConnection::fill()
{
    std::array<char, readBytesAtOnce> data;
    const std::ptrdiff_t count = m_socket.receive(data.data(), data.size());
    if (count <= 0) {
        return false;
    }
    m_buffer.append(data.data(), static_cast<std::size_t>(count));
    return true;
}

bool HttpConnection::readLine(std::string &line)
{
    std::size_t end = m_buffer.find('\n');
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = m_buffer.find('\n');
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 1);
    if (line.ends_with('\r')) {
        line.pop_back();
    }
    return true;
}

bool HttpConnection::readBytes(std::size_t count, std::string *body, std::size_t bytesPerSecond)
{
    const Clock::time_point begin = Clock::now();
    std::size_t read = 0;
    while (read < count) {
        if (m_buffer.empty() && !fill()) {
            return false;
        }
        const std::size_t part = std::min(count - read, m_buffer.size());
        if (body != nullptr) {
            body->append(m_buffer, 0, part);
        }
        m_buffer.erase(0, part);
        read += part;
        if (bytesPerSecond > 0) {
            std::this_thread::sleep_until(begin + std::chrono::microseconds(read * std::micro::den / bytesPerSecond));
        }
    }
    return true;
}

BodyEnd HttpConnection::readChunks(std::string &body)
{
    std::string line;
    while (readLine(line)) {
        const std::size_t size = std::strtoull(line.c_str(), nullptr, hexadecimalBase);
        if (size == 0) {
            return readLine(line) ? BodyEnd::Complete : BodyEnd::BrokenOff;
        }
        if (!readBytes(size, &body, 0) || !readLine(line)) {
            return BodyEnd::BrokenOff;
        }
    }
    return BodyEnd::BrokenOff;
}

}
