#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace Mangofall::Testing {

/// Passes on connections to another address. While it is cut, it passes nothing on, and what was sent arrives afterwards, as TCP repeats it.
class CuttableRelay
{
public:
    using Tcp = boost::asio::ip::tcp;

    CuttableRelay(boost::asio::io_context &io, const std::string &address, std::uint16_t port, const std::string &target)
        : m_io(io)
        , m_target(boost::asio::ip::make_address(target), port)
        , m_acceptor(io, Tcp::endpoint(boost::asio::ip::make_address(address), port))
    {
        accept();
    }

    void setCut(bool cut)
    {
        m_cut = cut;
    }

    /// Lets the open connections pass nothing any more, without closing them. New ones work.
    void silenceOpenConnections()
    {
        for (const std::weak_ptr<Ends> &known : m_open) {
            if (const std::shared_ptr<Ends> ends = known.lock()) {
                ends->silent = true;
            }
        }
        m_open.clear();
    }

private:
    struct Ends {
        Tcp::socket caller;
        Tcp::socket target;
        bool silent = false;
    };
    struct Direction {
        std::shared_ptr<Ends> ends;
        Tcp::socket *from;
        Tcp::socket *to;
        boost::asio::steady_timer timer;
        std::array<char, 65536> buffer{};
    };

    void accept()
    {
        auto ends = std::make_shared<Ends>(Ends{Tcp::socket(m_io), Tcp::socket(m_io)});
        m_open.push_back(ends);
        m_acceptor.async_accept(ends->caller, [this, ends](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            ends->target.async_connect(m_target, [this, ends](const boost::system::error_code &connectError) {
                if (!connectError) {
                    ends->caller.set_option(Tcp::no_delay(true));
                    ends->target.set_option(Tcp::no_delay(true));
                    read(std::make_shared<Direction>(Direction{ends, &ends->caller, &ends->target, boost::asio::steady_timer(m_io)}));
                    read(std::make_shared<Direction>(Direction{ends, &ends->target, &ends->caller, boost::asio::steady_timer(m_io)}));
                }
            });
            accept();
        });
    }

    void read(const std::shared_ptr<Direction> &direction)
    {
        direction->from->async_read_some(boost::asio::buffer(direction->buffer), [this, direction](const boost::system::error_code &error, std::size_t size) {
            if (error) {
                close(*direction);
            } else {
                passOn(direction, size);
            }
        });
    }

    void passOn(const std::shared_ptr<Direction> &direction, std::size_t size)
    {
        if (m_cut || direction->ends->silent) {
            direction->timer.expires_after(std::chrono::milliseconds(5));
            direction->timer.async_wait([this, direction, size](const boost::system::error_code &) {
                passOn(direction, size);
            });
            return;
        }
        boost::asio::async_write(
            *direction->to, boost::asio::buffer(direction->buffer, size), [this, direction](const boost::system::error_code &error, std::size_t) {
                if (error) {
                    close(*direction);
                } else {
                    read(direction);
                }
            });
    }

    static void close(const Direction &direction)
    {
        boost::system::error_code ignored;
        direction.ends->caller.close(ignored);
        direction.ends->target.close(ignored);
    }

    boost::asio::io_context &m_io;
    Tcp::endpoint m_target;
    Tcp::acceptor m_acceptor;
    bool m_cut = false;
    std::vector<std::weak_ptr<Ends>> m_open;
};

}
