#include "Forwarding/GrantAge.h"

#include <algorithm>
#include <chrono>

namespace Mangofall::Forwarding {

namespace {

using std::chrono::microseconds;

std::uint64_t toMicroseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<microseconds::rep>(std::chrono::duration_cast<microseconds>(duration).count(), 0));
}

}

void setSendTime(Wire::PlacementCallT &call, Duration bootTime)
{
    call.sent_us = toMicroseconds(bootTime);
}

void setCall(Wire::PlacementAnswerT &answer, const CallRecord &call, bool cold, Duration bootTime)
{
    if (call.sentUs != 0) {
        answer.call_sent_us = call.sentUs;
        answer.call_age_us = toMicroseconds(bootTime - call.readAt);
        answer.cold = cold;
    }
}

std::optional<Duration> grantAge(const Wire::PlacementAnswerT &answer, Duration bootTime)
{
    if (answer.call_sent_us == 0) {
        return std::nullopt;
    }
    const std::uint64_t sinceCall = toMicroseconds(bootTime) - std::min(answer.call_sent_us, toMicroseconds(bootTime));
    return microseconds(sinceCall - std::min(answer.call_age_us, sinceCall));
}

}
