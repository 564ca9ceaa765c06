#include "Check/MeaningCheck.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace Mangofall::Check {

namespace {

using namespace Forwarding;

class MeaningChecker
{
public:
    explicit MeaningChecker(const ForwardingConfiguration &configuration)
        : m_configuration(configuration)
    {
    }

    std::vector<MeaningWarning> run()
    {
        checkMatches();
        for (std::size_t index = 0; index < m_configuration.routes.size(); ++index) {
            checkTimes(index);
        }
        checkReach();
        checkEngines();
        checkCredentials();
        checkCallerLimits();
        return std::move(m_warnings);
    }

private:
    void warn(ConfigurationPlace place, const char *code, std::string found, std::string allowed)
    {
        m_warnings.push_back({place, code, std::move(found), std::move(allowed)});
    }

    static std::string milliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    }

    void checkMatches()
    {
        // Of two routes with the same host name and prefix, the hosts use the later one.
        std::map<std::pair<std::string, std::string>, std::size_t> last;
        for (std::size_t index = 0; index < m_configuration.routes.size(); ++index) {
            const RouteRule &route = m_configuration.routes[index];
            const auto [position, inserted] = last.try_emplace({route.hostName, route.pathPrefix}, index);
            if (!inserted) {
                warn({Section::Route, position->second, Field::Whole},
                     "route-never-matches",
                     "the host name and prefix of a later route, entry " + std::to_string(index),
                     "a host name and prefix that no later route has");
                position->second = index;
            }
            checkForm(index, route);
        }
    }

    void checkForm(std::size_t index, const RouteRule &route)
    {
        if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/')) {
            warn({Section::Route, index, Field::PathPrefix},
                 "route-never-matches",
                 "\"" + route.pathPrefix + "\"",
                 "a prefix that starts and ends with a slash");
        }
        if (route.hostName.empty() || route.hostName.find(':') != std::string::npos) {
            warn({Section::Route, index, Field::HostName}, "route-never-matches", "\"" + route.hostName + "\"", "a host name without a port");
        }
    }

    void checkTimes(std::size_t index)
    {
        const RouteRule &route = m_configuration.routes[index];
        if (route.timeout <= Duration::zero()) {
            warn({Section::Route, index, Field::Timeout}, "limit-allows-nothing", milliseconds(route.timeout), "more than 0 ms");
        }
        if (route.target > route.timeout) {
            warn({Section::Route, index, Field::Target},
                 "target-over-timeout",
                 milliseconds(route.target),
                 "at most the timeout of " + milliseconds(route.timeout));
        }
        if (route.pauseLimit > route.timeout) {
            warn({Section::Route, index, Field::PauseLimit},
                 "pause-over-timeout",
                 milliseconds(route.pauseLimit),
                 "at most the timeout of " + milliseconds(route.timeout));
        }
        if (route.maxRuns == 0) {
            warn({Section::Route, index, Field::MaxRuns}, "limit-allows-nothing", "0", "at least 1; the hosts use 1");
        }
        const bool isRepeatable = route.kind != RequestKind::AtMostOnce;
        // A target that equals the timeout is none: it is the default.
        if (isRepeatable && route.maxRuns > 1 && route.target < route.timeout && route.target > route.timeout / route.maxRuns) {
            warn({Section::Route, index, Field::MaxRuns},
                 "attempts-over-timeout",
                 std::to_string(route.maxRuns) + " attempts with a target of " + milliseconds(route.target),
                 "attempts that fit into the timeout of " + milliseconds(route.timeout));
        }
    }

    void checkReach()
    {
        // The longest time that a request for a service may wait, for the services that a route reaches.
        std::map<ServiceId, Duration> reached;
        for (const RouteRule &route : m_configuration.routes) {
            for (const WeightedService &choice : route.services) {
                Duration &longest = reached[choice.service];
                longest = std::max(longest, route.timeout);
            }
        }
        for (std::size_t index = 0; index < m_configuration.services.size(); ++index) {
            const ServiceId &id = m_configuration.services[index].id;
            const auto service = reached.find(id);
            if (service != reached.end()) {
                checkColdRate(index, service->second);
            } else {
                warn({Section::Service, index, Field::Whole}, "service-without-route", "\"" + id.value() + "\"", "a service that a route sends requests to");
            }
        }
    }

    void checkColdRate(std::size_t index, Duration longestTimeout)
    {
        const double rate = m_configuration.services[index].coldRequestsPerSecond;
        if (rate > 0 && rate * Seconds(longestTimeout).count() < 1) {
            warn({Section::Service, index, Field::ColdRate},
                 "quota-below-request",
                 "a rate of cold upstreams that allows no request within the longest timeout of " + milliseconds(longestTimeout),
                 "a rate that allows one request, or 0 for no limit");
        }
    }

    void checkEngines()
    {
        for (std::size_t index = 0; index < m_configuration.services.size(); ++index) {
            const std::optional<Placement::EngineSpec> &engine = m_configuration.services[index].engine;
            if (engine && engine->slots == 0) {
                warn({Section::Service, index, Field::EngineSlots}, "limit-allows-nothing", "0", "at least 1");
            }
            if (engine && engine->memoryTokens < engine->chunkTokens) {
                warn({Section::Service, index, Field::EngineMemory},
                     "quota-below-request",
                     std::to_string(engine->memoryTokens) + " tokens",
                     "at least the " + std::to_string(engine->chunkTokens) + " tokens of one prefill step");
            }
        }
    }

    void checkCredentials()
    {
        bool anyCredential = false;
        for (std::size_t index = 0; index < m_configuration.organisations.size(); ++index) {
            const OrganisationRule &organisation = m_configuration.organisations[index];
            anyCredential = anyCredential || !organisation.credentials.empty();
            if (organisation.credentials.empty()) {
                warn({Section::Organisation, index, Field::Credentials}, "organisation-without-key", "no key", "at least one key");
            }
        }
        for (std::size_t index = 0; m_configuration.requiresCredentials && !anyCredential && index < m_configuration.routes.size(); ++index) {
            if (!m_configuration.routes[index].isPublic) {
                warn({Section::Route, index, Field::Whole},
                     "route-without-callers",
                     "a private route, and no organisation with a key",
                     "a key or a public route");
            }
        }
    }

    void checkCallerLimits()
    {
        const HttpServerLimits &limits = m_configuration.callerLimits;
        if (limits.headerTimeout > limits.idleTimeout) {
            warn({Section::Limits, 0, Field::HeaderTimeout},
                 "header-time-over-idle-time",
                 milliseconds(limits.headerTimeout),
                 "at most the idle time of " + milliseconds(limits.idleTimeout));
        }
        const auto checkNotZero = [this](Field field, bool isZero) {
            if (isZero) {
                warn({Section::Limits, 0, field}, "limit-allows-nothing", "0", "more than 0");
            }
        };
        checkNotZero(Field::HeaderBytes, limits.headerBytes == 0);
        checkNotZero(Field::BodyBytes, limits.bodyBytes == 0);
        checkNotZero(Field::HeaderTimeout, limits.headerTimeout == Duration::zero());
        checkNotZero(Field::IdleTimeout, limits.idleTimeout == Duration::zero());
    }

    const ForwardingConfiguration &m_configuration;
    std::vector<MeaningWarning> m_warnings;
};

}

std::vector<MeaningWarning> checkMeaning(const ForwardingConfiguration &configuration)
{
    return MeaningChecker(configuration).run();
}

}
