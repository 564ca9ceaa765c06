#include "Daemon/WireHandOver.h"

#include "Daemon/WireAttempt.h"

namespace Mangofall {

Wire::HandOverT toWire(const HandOverMessage &message)
{
    Wire::HandOverT wire;
    wire.upstream = message.upstream.value();
    wire.epoch = message.epoch;
    wire.request_cap = message.caps.requests;
    wire.prefill_cap = message.caps.prefillTokens;
    for (const HandOverMessage::Item &item : message.inFlight) {
        auto entry = std::make_unique<Wire::InFlightEntryT>();
        entry->attempt = toWire(item.attempt);
        entry->prefill_tokens = item.prefillTokens;
        wire.in_flight.push_back(std::move(entry));
    }
    return wire;
}

HandOverMessage fromWire(const Wire::HandOverT &wire)
{
    HandOverMessage message;
    message.upstream = UpstreamId(wire.upstream);
    message.epoch = wire.epoch;
    message.caps.requests = wire.request_cap;
    message.caps.prefillTokens = wire.prefill_cap;
    for (const auto &entry : wire.in_flight) {
        if (entry->attempt) {
            message.inFlight.push_back({fromWire(*entry->attempt), entry->prefill_tokens});
        }
    }
    return message;
}

}
