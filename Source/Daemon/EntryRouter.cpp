#include "Daemon/EntryRouter.h"

#include "Daemon/PromptBlocks.h"

namespace Mangofall {

namespace {

// 64 blocks cover the first 16,384 tokens, where prompts share instructions and documents.
constexpr std::size_t maxPrefixBlocks = 64;

// 200,000 entries take at most 19 MB of memory.
constexpr std::size_t maxPrefixEntries = 200'000;

UpstreamView initialView(const UpstreamSpec &spec)
{
    UpstreamView view;
    view.id = spec.id;
    view.requestCap = spec.coldRequests;
    view.prefillCap = spec.coldPrefillTokens;
    return view;
}

}

EntryRouter::EntryRouter(std::uint64_t seed)
    : m_random(seed)
    , m_prefixes(maxPrefixEntries)
{
}

void EntryRouter::setSnapshot(std::shared_ptr<const ControlSnapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    if (!m_snapshot->routing) {
        return;
    }
    m_poolNames.clear();
    const RoutingIndex &routing = *m_snapshot->routing;
    for (const auto &[id, spec] : routing.configuration().upstreams) {
        m_poolNames[id] = poolName(spec.model, spec.service);
    }
    // Rebuilds each pool once: a rebuild per upstream took 8.1 s with 10,000 upstreams.
    std::set<std::string> rebuilt;
    for (const auto &[id, spec] : routing.configuration().upstreams) {
        const std::string &name = m_poolNames[id];
        if (rebuilt.insert(name).second) {
            rebuildPool(m_pools[name], spec.kind == UpstreamKind::Engine ? routing.upstreamsOf(spec.model) : routing.upstreamsOf(spec.service));
        }
    }
    for (auto &[name, pool] : m_pools) {
        const Preset &preset = routing.preset();
        pool.chooser = makeUpstreamChooser(preset, m_estimator);
        pool.longShare = std::make_unique<LongShareAllocator>(preset.shortWeight, preset.minLongShare);
        if (pool.retries) {
            pool.retries->setRatio(preset.retryRatio);
        } else {
            RetryLimits limits;
            limits.ratio = preset.retryRatio;
            pool.retries = std::make_unique<RetryBudget>(limits);
        }
    }
}

void EntryRouter::updateLoad(const LoadSummary &summary)
{
    const auto name = m_poolNames.find(summary.upstream);
    if (name != m_poolNames.end()) {
        m_pools[name->second].views.update(toView(summary));
    }
}

RequestProfile EntryRouter::profile(const ModelId &model, std::string_view prompt, std::size_t promptBytes, TimePoint now)
{
    RequestProfile request;
    request.model = model;
    request.promptTokens = m_estimator.estimateTokens(model, promptBytes);
    request.prefixBlocks = promptBlockHashes(prompt, maxPrefixBlocks);
    LengthClassifier &classes = poolOf(request).classes;
    classes.observe(now, request.promptTokens);
    request.lengthClass = classes.classify(request.promptTokens);
    return request;
}

std::optional<UpstreamChoice> EntryRouter::choose(const RequestProfile &request, const std::unordered_set<UpstreamId> &excluded, const HostId &host)
{
    Pool &pool = poolOf(request);
    if (!pool.chooser) {
        return std::nullopt;
    }
    pool.longShare->assign(pool.views.views(), pool.classes.longWorkShare());
    const RoutingIndex &routing = *m_snapshot->routing;
    std::vector<UpstreamView> candidates;
    for (UpstreamView &view : pool.views.views()) {
        const auto spec = routing.configuration().upstreams.find(view.id);
        const auto dispatcher = m_snapshot->dispatchers.find(view.id);
        const bool hasDispatcher = dispatcher != m_snapshot->dispatchers.end() && (host.empty() || dispatcher->second == host);
        const bool usable = hasDispatcher && spec != routing.configuration().upstreams.end() && !routing.isOutOfService(spec->second);
        if (usable && !excluded.contains(view.id)) {
            candidates.push_back(view);
            candidates.back().cachedTokens = m_prefixes.cachedBlocks(view.id, request.prefixBlocks) * promptBlockTokens;
        }
    }
    const std::optional<UpstreamId> chosen = pool.chooser->choose(request, candidates, m_random);
    if (!chosen) {
        return std::nullopt;
    }
    UpstreamChoice choice{*chosen, 0};
    choice.cachedTokens = std::min(m_prefixes.cachedBlocks(*chosen, request.prefixBlocks) * promptBlockTokens, request.promptTokens);
    pool.views.noteDispatch(*chosen, request.lengthClass, request.promptTokens - choice.cachedTokens);
    m_prefixes.recordRoute(*chosen, request.prefixBlocks);
    return choice;
}

void EntryRouter::observePrompt(const ModelId &model, std::size_t promptBytes, std::uint64_t promptTokens)
{
    if (promptTokens > 0) {
        m_estimator.observePromptSize(model, promptBytes, promptTokens);
    }
}

RetryBudget &EntryRouter::retryBudget(const RequestProfile &request)
{
    Pool &pool = poolOf(request);
    if (!pool.retries) {
        pool.retries = std::make_unique<RetryBudget>(RetryLimits{});
    }
    return *pool.retries;
}

RandomEngine &EntryRouter::random()
{
    return m_random;
}

EntryRouter::Pool &EntryRouter::poolOf(const RequestProfile &request)
{
    return m_pools[poolName(request.model, request.service)];
}

std::string EntryRouter::poolName(const ModelId &model, const ServiceId &service)
{
    return model.empty() ? "service/" + service.value() : "model/" + model.value();
}

void EntryRouter::rebuildPool(Pool &pool, const std::vector<const UpstreamSpec *> &upstreams)
{
    std::set<UpstreamId> members;
    for (const UpstreamSpec *spec : upstreams) {
        members.insert(spec->id);
        if (!pool.members.contains(spec->id)) {
            pool.views.update(initialView(*spec));
        }
    }
    for (const UpstreamId &member : pool.members) {
        if (!members.contains(member)) {
            pool.views.remove(member);
        }
    }
    pool.members = std::move(members);
}

}
