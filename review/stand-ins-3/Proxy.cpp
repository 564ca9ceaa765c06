#include "Proxy.h"

namespace Review {

namespace {

const std::string proxyAddress = "127.0.0.1";
constexpr Milliseconds pollInterval{5};

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
    m_stopping = true;
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

void Proxy::silenceOpen()
{
    ++m_generation;
}

void Proxy::accept()
{
    while (std::shared_ptr<Connection> near = m_listener.accept()) {
        keep(near);
        m_threads.run([this, near, generation = m_generation.load()]() {
            connect(near, generation);
        });
    }
}

void Proxy::connect(const std::shared_ptr<Connection> &near, unsigned generation)
{
    waitForPassage();
    const std::shared_ptr<Connection> far = Connection::open(m_address, m_port);
    if (!far) {
        near->shutDown();
        return;
    }
    keep(far);
    m_threads.run([this, near, far, generation]() {
        pass(near, far, generation);
    });
    pass(far, near, generation);
}

void Proxy::pass(const std::shared_ptr<Connection> &from, const std::shared_ptr<Connection> &to, unsigned generation)
{
    for (std::string bytes = from->readSome(); !bytes.empty(); bytes = from->readSome()) {
        waitForPassage();
        if (generation == m_generation && !to->write(bytes)) {
            break;
        }
    }
    waitForPassage();
    if (generation == m_generation) {
        to->shutDown();
    }
}

void Proxy::waitForPassage() const
{
    while (m_cut && !m_stopping) {
        std::this_thread::sleep_for(pollInterval);
    }
}

void Proxy::keep(const std::shared_ptr<Connection> &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.push_back(connection);
}

}
