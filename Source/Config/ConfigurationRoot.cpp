#include "Config/ConfigurationRoot.h"

#include "Base/Hash.h"
#include "Config/JsonObjectReader.h"
#include "Config/JsonText.h"
#include "Config/SpecJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace Mangofall {

const std::string rootKey = "mangofall/config/root";

namespace {

using nlohmann::json;

// Half of the store's limit leaves room for a few very long ids and for a later format with larger elements.
constexpr std::size_t maxBlobBytes = maxStoreValueBytes / 2;
constexpr std::size_t minBlobBytes = maxBlobBytes / 8;
// A blob of at least minBlobBytes ends at an id whose hash is a multiple of this number, on average one id in 512. At about 150 bytes per element this
// adds some 75 KB.
constexpr std::uint64_t blobBoundaryModulus = 512;
constexpr std::uint64_t storedFormat = 1;

constexpr std::array<std::string_view, configurationSectionCount> sectionNames = {"presets", "organisations", "upstreams", "routes"};

// Writes the elements of one section into blobs and records their content hashes.
class SectionWriter
{
public:
    SectionWriter(std::string_view name, std::vector<std::string> &hashes, ConfigurationBlobs &blobs)
        : m_name(name)
        , m_hashes(hashes)
        , m_blobs(blobs)
    {
    }

    void add(std::string_view id, const json &element)
    {
        const std::string text = element.dump();
        if (m_text.size() + text.size() > maxBlobBytes) {
            finish();
        }
        m_text += (m_text.empty() ? "{\"" + std::string(m_name) + "\":[" : ",") + text;
        if (m_text.size() >= minBlobBytes && hash64(id) % blobBoundaryModulus == 0) {
            finish();
        }
    }

    void finish()
    {
        if (m_text.empty()) {
            return;
        }
        m_text += "]}";
        std::string hash = contentHash(m_text);
        m_blobs[hash] = std::exchange(m_text, {});
        m_hashes.push_back(std::move(hash));
    }

private:
    std::string_view m_name;
    std::vector<std::string> &m_hashes;
    ConfigurationBlobs &m_blobs;
    std::string m_text;
};

template<class Map, class Encode>
void writeSection(const Map &map, Encode encode, SectionWriter writer)
{
    for (const auto &[id, spec] : map) {
        writer.add(id.value(), encode(spec));
    }
    writer.finish();
}

void writeRoutes(const std::vector<RouteSpec> &routes, SectionWriter writer)
{
    for (const RouteSpec &route : routes) {
        writer.add(route.pathPrefix, encodeRoute(route));
    }
    writer.finish();
}

template<class Target, class Source>
void appendElements(std::string_view name, Target &target, Source source, ConfigurationProblems &problems)
{
    if constexpr (requires { target.push_back(source.front()); }) {
        target.insert(target.end(), source.begin(), source.end());
    } else {
        target.merge(source);
        for (const auto &[id, spec] : source) {
            problems.push_back({std::string(name), "\"" + id.value() + "\" in two blobs", "each id once"});
        }
    }
}

void decodeBlob(ConfigurationSection section, JsonObjectReader &reader, FleetConfiguration &configuration, ConfigurationProblems &problems)
{
    const std::string_view name = sectionNames[static_cast<std::size_t>(section)];
    switch (section) {
    case ConfigurationSection::Presets:
        appendElements(name, configuration.presets, decodePresets(reader, name), problems);
        return;
    case ConfigurationSection::Organisations:
        appendElements(name, configuration.organisations, decodeOrganisations(reader, name), problems);
        return;
    case ConfigurationSection::Upstreams:
        appendElements(name, configuration.upstreams, decodeUpstreams(reader, name), problems);
        return;
    case ConfigurationSection::Routes:
        appendElements(name, configuration.routes, decodeRoutes(reader, name), problems);
        return;
    }
}

void copySection(ConfigurationSection section, const FleetConfiguration &from, FleetConfiguration &to)
{
    switch (section) {
    case ConfigurationSection::Presets:
        to.presets = from.presets;
        return;
    case ConfigurationSection::Organisations:
        to.organisations = from.organisations;
        return;
    case ConfigurationSection::Upstreams:
        to.upstreams = from.upstreams;
        return;
    case ConfigurationSection::Routes:
        to.routes = from.routes;
        return;
    }
}

void decodeSection(ConfigurationSection section,
                   const std::vector<std::string> &hashes,
                   const ConfigurationBlobs &blobs,
                   FleetConfiguration &configuration,
                   ConfigurationProblems &problems)
{
    for (const std::string &hash : hashes) {
        const auto blob = blobs.find(hash);
        if (blob == blobs.end() || contentHash(blob->second) != hash) {
            problems.push_back({blobKey(hash), blob == blobs.end() ? "nothing" : "text with another hash", "the blob that the root names"});
            continue;
        }
        const std::optional<json> value = parseJsonText(blob->second, problems);
        if (value.has_value()) {
            JsonObjectReader reader(*value, {}, problems);
            decodeBlob(section, reader, configuration, problems);
            reader.refuseUnknownFields();
        }
    }
}

// ConfigurationChanger concludes from an id that is missing in the list that the change did not take effect, so the list must have no gap.
void checkRecentChanges(const ConfigurationRoot &root, JsonObjectReader &reader)
{
    Revision expected = root.revision;
    for (auto change = root.recentChanges.rbegin(); change != root.recentChanges.rend(); ++change, --expected) {
        if (change->revision != expected) {
            reader.addProblem("recentChanges", "revision " + std::to_string(change->revision), "one change per revision, up to the root's");
            return;
        }
    }
    if (root.recentChanges.empty()) {
        reader.addProblem("recentChanges", "no change", "at least the change that made this revision");
    }
}

ConfigurationRoot decodeRootFields(JsonObjectReader &reader)
{
    ConfigurationRoot root;
    std::uint64_t format = 0;
    reader.integer<std::uint64_t>("format", format, storedFormat, storedFormat);
    reader.integer<Revision>("revision", root.revision, 1);
    reader.id("presetInForce", root.presetInForce);
    reader.object("outOfService", [&](JsonObjectReader &fields) {
        root.outOfService = decodeOutOfService(fields);
    });
    reader.objects("recentChanges", [&](JsonObjectReader &element) {
        root.recentChanges.push_back(decodeRecentChange(element));
    });
    reader.object("sections", [&](JsonObjectReader &fields) {
        for (std::size_t index = 0; index < configurationSectionCount; ++index) {
            fields.texts(sectionNames[index], contentHashRule, [&](std::string hash) {
                root.sections[index].push_back(std::move(hash));
            });
        }
    });
    checkRecentChanges(root, reader);
    return root;
}

}

std::string blobKey(std::string_view hash)
{
    return "mangofall/config/blob/" + std::string(hash);
}

std::string encodeRoot(const ConfigurationRoot &root)
{
    json changes = json::array();
    for (const RecentChange &change : root.recentChanges) {
        changes.push_back(encodeRecentChange(change));
    }
    json sections = json::object();
    for (std::size_t index = 0; index < configurationSectionCount; ++index) {
        sections[std::string(sectionNames[index])] = root.sections[index];
    }
    return json{
        {"format", storedFormat},
        {"revision", root.revision},
        {"presetInForce", root.presetInForce.value()},
        {"outOfService", encodeOutOfService(root.outOfService)},
        {"recentChanges", std::move(changes)},
        {"sections", std::move(sections)},
    }
        .dump();
}

std::optional<ConfigurationRoot> decodeRoot(std::string_view text, ConfigurationProblems &problems)
{
    ConfigurationProblems found;
    ConfigurationRoot root;
    const std::optional<json> value = parseJsonText(text, found);
    if (value.has_value()) {
        JsonObjectReader reader(*value, {}, found);
        root = decodeRootFields(reader);
        reader.refuseUnknownFields();
    }
    problems.insert(problems.end(), found.begin(), found.end());
    return found.empty() ? std::optional<ConfigurationRoot>(std::move(root)) : std::nullopt;
}

SplitConfiguration splitConfiguration(const FleetConfiguration &configuration)
{
    SplitConfiguration split;
    ConfigurationRoot &root = split.root;
    root.revision = configuration.revision;
    root.presetInForce = configuration.presetInForce;
    root.outOfService = configuration.outOfService;
    root.recentChanges = configuration.recentChanges;
    const auto writer = [&](ConfigurationSection section) {
        const auto index = static_cast<std::size_t>(section);
        return SectionWriter(sectionNames[index], root.sections[index], split.blobs);
    };
    writeSection(configuration.presets, encodePreset, writer(ConfigurationSection::Presets));
    writeSection(configuration.organisations, encodeOrganisation, writer(ConfigurationSection::Organisations));
    writeSection(configuration.upstreams, encodeUpstream, writer(ConfigurationSection::Upstreams));
    writeRoutes(configuration.routes, writer(ConfigurationSection::Routes));
    return split;
}

std::vector<std::string> missingBlobs(const ConfigurationRoot &root, const ConfigurationBlobs &blobs)
{
    std::set<std::string> missing;
    for (const std::vector<std::string> &hashes : root.sections) {
        for (const std::string &hash : hashes) {
            if (!blobs.contains(hash)) {
                missing.insert(hash);
            }
        }
    }
    return {missing.begin(), missing.end()};
}

std::optional<FleetConfiguration> joinConfiguration(const ConfigurationRoot &root,
                                                    const ConfigurationBlobs &blobs,
                                                    ConfigurationProblems &problems,
                                                    const ConfigurationRoot *previousRoot,
                                                    const FleetConfiguration *previous)
{
    ConfigurationProblems found;
    FleetConfiguration configuration;
    configuration.revision = root.revision;
    configuration.presetInForce = root.presetInForce;
    configuration.outOfService = root.outOfService;
    configuration.recentChanges = root.recentChanges;
    for (std::size_t index = 0; index < configurationSectionCount; ++index) {
        const auto section = static_cast<ConfigurationSection>(index);
        if (previousRoot != nullptr && previous != nullptr && previousRoot->sections[index] == root.sections[index]) {
            copySection(section, *previous, configuration);
        } else {
            decodeSection(section, root.sections[index], blobs, configuration, found);
        }
    }
    if (found.empty() && !configuration.presets.contains(configuration.presetInForce)) {
        found.push_back({"presetInForce", "\"" + configuration.presetInForce.value() + "\"", "the name of a stored preset"});
    }
    problems.insert(problems.end(), found.begin(), found.end());
    return found.empty() ? std::optional<FleetConfiguration>(std::move(configuration)) : std::nullopt;
}

}
