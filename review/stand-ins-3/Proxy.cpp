#include "Proxy.h"

namespace Review {

namespace {

const std::string proxyAddress = "127.0.0.1";

}

Proxy::Proxy(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
    , m_listener(proxyAddress)
    , m_acceptor([this]() {
        accept();
    })
{
}

Proxy::~Proxy()
{
    m_listener.close();
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections) {
            connection->shutDown();
        }
    }
    m_threads.joinAll();
}

std::string Proxy::address() const
{
    return proxyAddress + ":" + std::to_string(m_listener.port());
}

void Proxy::setCut(bool cut)
{
    m_cut = cut;
}

void Proxy::accept()
{
    while (std::shared_ptr<Connection> near = m_listener.accept()) {
        keep(near);
        if (m_cut) {
            continue;
        }
        const std::shared_ptr<Connection> far = Connection::open(m_address, m_port);
        if (!far) {
            near->shutDown();
            continue;
        }
        keep(far);
        m_threads.run([this, near, far]() {
            pass(near, far);
        });
        m_threads.run([this, near, far]() {
            pass(far, near);
        });
    }
}

// What comes during a cut is lost, and with it the connection: it stays silent from then on.
void Proxy::pass(const std::shared_ptr<Connection> &from, const std::shared_ptr<Connection> &to)
{
    bool silent = false;
    for (std::string bytes = from->readSome(); !bytes.empty(); bytes = from->readSome()) {
        silent = silent || m_cut;
        if (!silent && !to->write(bytes)) {
            break;
        }
    }
    if (!silent && !m_cut) {
        to->shutDown();
    }
}

void Proxy::keep(const std::shared_ptr<Connection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.push_back(connection);
}

}
