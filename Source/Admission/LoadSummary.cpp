#include "Admission/LoadSummary.h"

#include "Routing/UpstreamView.h"

namespace Mangofall {

UpstreamView toView(const LoadSummary &summary)
{
    UpstreamView view;
    view.id = summary.upstream;
    view.state = summary.state;
    view.requestCap = summary.caps.requests;
    view.prefillCap = summary.caps.prefillTokens;
    view.inFlightRequests = summary.inFlightRequests;
    view.queuedRequests = summary.queuedRequests;
    view.inFlightPrefillTokens = summary.inFlightPrefillTokens;
    view.queuedPrefillTokens = summary.queuedPrefillTokens;
    view.prefillRate = summary.prefillRate;
    view.residence = summary.residence;
    return view;
}

}
