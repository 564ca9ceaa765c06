#include "Daemon/WireDispatch.h"

#include "Daemon/ReplyTarget.h"
#include "Daemon/WireAttempt.h"

namespace Mangofall {

std::vector<std::unique_ptr<Wire::HeaderT>> toWire(const std::vector<std::pair<std::string, std::string>> &headers)
{
    std::vector<std::unique_ptr<Wire::HeaderT>> wire;
    for (const auto &[name, value] : headers) {
        wire.push_back(std::make_unique<Wire::HeaderT>());
        wire.back()->name = name;
        wire.back()->value = value;
    }
    return wire;
}

void refuseDispatch(const Wire::DispatchT &dispatch, ReplyTarget &reply, ErrorKind error, const HostId &runAt)
{
    Wire::StreamEndT end;
    end.attempt = std::make_unique<Wire::AttemptKey>(*dispatch.attempt);
    end.connection = dispatch.connection;
    end.outcome = Wire::StreamOutcome::Refused;
    end.error = static_cast<std::uint16_t>(error);
    end.run_at = runAt.value();
    reply.reply(toMessage(std::move(end)));
}

}
