#pragma once

#include "Forwarding/PlacementGateway.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Mangofall::Testing {

/**
 * \class FakePlacement
 * \brief Assigns upstreams on the given ports in turn, and refuses when no port is left.
 */
class FakePlacement final : public Forwarding::PlacementGateway
{
public:
    std::vector<std::uint16_t> ports;
    std::vector<Placement::GrantOutcome> outcomes;
    std::vector<Placement::UpstreamNotice> notices;
    std::vector<Placement::ReportedLoad> loads;
    std::vector<UpstreamId> helpersOfFirst; ///< Helpers of the first assignment.
    std::vector<std::uint64_t> helperMemoryOfFirst; ///< Tokens to reserve at them.
    std::vector<UpstreamId> faulty; ///< The helpers that were reported to be at fault.
    std::size_t submitted = 0;
    std::function<void()> onWaiting; ///< If set, placement requests get no answer, and this is called for each of them.

    Placement::PlacementRequestId nextId() override
    {
        return {HostId("h"), ++m_number};
    }

    void submit(const Placement::PlacementRequest &placementRequest, Handler handler) override
    {
        if (onWaiting) {
            ++submitted;
            onWaiting();
            return;
        }
        if (submitted >= ports.size()) {
            ++submitted;
            handler(Placement::Refusal{placementRequest.id, ErrorKind::NoUpstream, std::chrono::seconds(1)});
            return;
        }
        Placement::Assignment assignment;
        assignment.upstream = UpstreamId("u" + std::to_string(submitted));
        assignment.address = {"127.0.0.1", ports[submitted]};
        if (submitted == 0) {
            assignment.helpers = helpersOfFirst;
            assignment.helperAddresses.resize(helpersOfFirst.size());
            assignment.helperMemory = helperMemoryOfFirst;
        }
        ++submitted;
        handler(assignment);
    }

    void firstEventReceived(const Placement::PlacementRequestId &) override
    {
    }

    void noticeReceived(const Placement::PlacementRequestId &, const Placement::UpstreamNotice &notice) override
    {
        notices.push_back(notice);
    }

    void loadReported(const Placement::PlacementRequestId &, const Placement::ReportedLoad &load) override
    {
        loads.push_back(load);
    }

    void ended(const Placement::PlacementRequestId &, Placement::GrantOutcome outcome, const std::optional<UpstreamId> &faultyHelper) override
    {
        outcomes.push_back(outcome);
        if (faultyHelper) {
            faulty.push_back(*faultyHelper);
        }
    }

private:
    std::uint64_t m_number = 0;
};

}
