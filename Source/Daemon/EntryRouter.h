#pragma once

#include "Admission/LoadSummary.h"
#include "Base/RandomEngine.h"
#include "Daemon/ControlSnapshot.h"
#include "Routing/FirstTokenEstimator.h"
#include "Routing/LengthClassifier.h"
#include "Routing/LongShareAllocator.h"
#include "Routing/PrefixIndex.h"
#include "Routing/RequestProfile.h"
#include "Routing/UpstreamChooser.h"
#include "Routing/UpstreamViewTable.h"
#include "Streams/RetryBudget.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>

namespace Mangofall {

/**
 * \class UpstreamChoice
 * \brief The chosen upstream and the estimated number of prompt tokens in its prefix cache.
 */
struct UpstreamChoice {
    UpstreamId upstream;
    std::uint64_t cachedTokens = 0;
};

/**
 * \class EntryRouter
 * \brief One traffic thread's routing state: views, estimates, prefix index and length classes of each pool.
 *
 * A pool is the set of upstreams that serve one model or one plain service.
 */
class EntryRouter
{
public:
    explicit EntryRouter(std::uint64_t seed);

    void setSnapshot(std::shared_ptr<const ControlSnapshot> snapshot);

    /// Stores the load that a dispatcher reported for its upstream.
    void updateLoad(const LoadSummary &summary);

    /// Estimates the tokens and the length class of a prompt and adds it to the length statistics of its pool.
    RequestProfile profile(const ModelId &model, std::string_view prompt, std::size_t promptBytes, TimePoint now);

    /// Chooses among the upstreams of the request's pool, except \p excluded; empty if none is usable. If \p host is
    /// set, only upstreams whose dispatcher runs on that host are considered.
    std::optional<UpstreamChoice> choose(const RequestProfile &request, const std::unordered_set<UpstreamId> &excluded, const HostId &host = {});

    /// Updates the estimate of tokens per byte with the token count of a prompt that an engine reported.
    void observePrompt(const ModelId &model, std::size_t promptBytes, std::uint64_t promptTokens);

    RetryBudget &retryBudget(const RequestProfile &request);
    RandomEngine &random();

private:
    struct Pool {
        UpstreamViewTable views;
        std::unique_ptr<UpstreamChooser> chooser;
        std::unique_ptr<RetryBudget> retries;
        std::unique_ptr<LongShareAllocator> longShare;
        LengthClassifier classes;
        std::set<UpstreamId> members;
    };

    Pool &poolOf(const RequestProfile &request);
    static std::string poolName(const ModelId &model, const ServiceId &service);
    void rebuildPool(Pool &pool, const std::vector<const UpstreamSpec *> &upstreams);

    std::shared_ptr<const ControlSnapshot> m_snapshot;
    RandomEngine m_random;
    FirstTokenEstimator m_estimator;
    PrefixIndex m_prefixes;
    std::map<std::string, Pool> m_pools;
    std::map<UpstreamId, std::string> m_poolNames;
};

}
