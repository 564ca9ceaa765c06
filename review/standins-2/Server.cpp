#include "Server.h"

#include <stdexcept>
#include <utility>

namespace Review {

Server::Server(const std::string &ip, Handler handler, int receiveBuffer)
    : m_address{ip, 0}
    , m_handler(std::move(handler))
    , m_listener(Socket::listenAt(m_address, receiveBuffer))
{
    if (!m_listener.valid()) {
        throw std::runtime_error("cannot listen at " + ip);
    }
    m_address.port = m_listener.localPort();
    m_thread = std::thread([this]() {
        acceptConnections();
    });
}

Server::~Server()
{
    stop();
}

const Address &Server::address() const
{
    return m_address;
}

void Server::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    m_listener.shutdown();
    m_thread.join();
    m_listener.close();
    const std::scoped_lock lock(m_mutex);
    for (Connection &connection : m_connections) {
        connection.http->socket().shutdown();
    }
    for (Connection &connection : m_connections) {
        connection.thread.join();
    }
    m_connections.clear();
}

void Server::acceptConnections()
{
    while (!m_stopped) {
        Socket socket = m_listener.accept();
        if (!socket.valid()) {
            continue;
        }
        const std::scoped_lock lock(m_mutex);
        removeEnded();
        Connection &connection = m_connections.emplace_back();
        connection.http = std::make_unique<HttpConnection>(std::move(socket));
        connection.thread = std::thread([this, &connection]() {
            m_handler(*connection.http);
            connection.http->socket().shutdown();
            connection.ended = true;
        });
    }
}

void Server::removeEnded()
{
    for (auto connection = m_connections.begin(); connection != m_connections.end();) {
        if (!connection->ended) {
            ++connection;
            continue;
        }
        connection->thread.join();
        connection = m_connections.erase(connection);
    }
}

}
