#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"
#include "Placement/ColdShare.h"

#include <map>
#include <optional>
#include <vector>

namespace Mangofall::Forwarding {

/**
 * \class ColdRateShares
 * \brief Divides the request rate that a cold upstream tolerates between hosts that place requests without being in touch with each other.
 *
 * Each member of the fleet has an equal share of the rate of each cold upstream, and lends it to the host that it takes for the owner of the service, or uses
 * it itself. A placing host asks the members for their shares again and again while a service has cold upstreams, and uses a loan for a short time after it has
 * asked. The member lends or uses its share otherwise only once the last request under the loan, whose grant may be read late, has left the rate's window of
 * one second. So all placing hosts together keep the rate, whatever each believes about the others, without a common clock and without another service.
 *
 * The class keeps the loans; it knows no network and no clock.
 */
class ColdRateShares
{
public:
    explicit ColdRateShares(HostId self);

    /// As a member: lends this host's share to \p host. Returns false while another host may still use it.
    bool lend(const ServiceId &service, const HostId &host, TimePoint now);

    /// Whether the share of this host is used up at some cold upstream of the service, although the whole rate is not.
    using ColdServices = std::map<ServiceId, bool>;
    /// As an owner of these services: which of \p members, in the order of their ids, are to be asked for their shares now, with the services to ask for. Some
    /// are asked at first, and more while their shares are not enough, so that a large fleet is not asked for each request.
    std::map<HostId, std::vector<ServiceId>> takeCalls(const ColdServices &services, const std::vector<HostId> &members, TimePoint now);
    /// A member has answered, whether it lent anything or not.
    void answered(const HostId &host);
    /// A member has lent its share after a call of \p calledAt.
    void lent(const ServiceId &service, const HostId &host, TimePoint calledAt);
    /// The part of the rate that this host may use as owner, if \p members are the fleet with or without this host.
    Placement::ColdShare share(const ServiceId &service, const std::vector<HostId> &members, TimePoint now);
    /// The members that have answered earlier calls and have left all of some time without an answer; each is returned once.
    std::vector<HostId> takeSilent(TimePoint now);

    /// Forgets the loans to this host, because its clock may have stood still.
    void forgetLoans();
    /// Forgets what has expired. Cheap to call often.
    void expire(TimePoint now);

private:
    struct Loan {
        HostId host;
        TimePoint until; ///< The share is not lent to another host before.
    };
    struct Demand {
        unsigned level = 0; ///< How large a part of the members is asked.
        TimePoint nextCall;
        TimePoint nextRaise; ///< The level is not raised before, so that the last answers can come.
        TimePoint keepUntil; ///< The level is not lowered before.
    };
    struct Member {
        TimePoint calledAt; ///< The last call.
        std::optional<TimePoint> unansweredSince; ///< The first call since the last answer.
        unsigned unanswered = 0; ///< Calls since then.
        bool hasAnswered = false; ///< A host of a version without loans never does.
    };

    /// Updates the level of the demand, and returns whether members are to be called.
    static bool updateDemand(Demand &demand, bool isShort, TimePoint now);
    /// A member that has not been called for some time is not judged by its earlier silence.
    static void noteCall(Member &member, TimePoint now);

    HostId m_self;
    std::map<ServiceId, Loan> m_given;
    std::map<ServiceId, std::map<HostId, TimePoint>> m_received; ///< When each loan to this host ends.
    std::map<ServiceId, Demand> m_demands; ///< Of the services that this host owns and that have cold upstreams.
    std::map<HostId, Member> m_called;
};

}
