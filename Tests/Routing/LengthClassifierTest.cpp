// Must precede the CppUTest headers: they redefine new, and pcg uses placement new.
#include "Base/RandomEngine.h"

#include "Property.h"

#include "Routing/LengthClassifier.h"

#include <cmath>
#include <random>

using namespace Mangofall;
using namespace std::chrono_literals;

namespace {

/// Adds \p count prompts, 20 ms apart, of one to ten times \p scale tokens; one in \p longEvery has 100 to 1,000 times \p scale tokens.
void observePrompts(LengthClassifier &classifier, TimePoint &now, int count, double scale, int longEvery, RandomEngine &random)
{
    std::uniform_real_distribution<double> unit(0, 1);
    for (int prompt = 0; prompt < count; ++prompt) {
        const bool isLong = prompt % longEvery == longEvery - 1;
        const double tokens = isLong ? 100 * scale * std::pow(10.0, unit(random)) : scale * std::pow(10.0, unit(random));
        classifier.observe(now, static_cast<std::uint64_t>(tokens));
        now += 20ms;
    }
}

}

TEST_GROUP(LengthClassifierTest){};

// Guards against bounds that keep following former traffic after the mix of prompt sizes has changed.
TEST(LengthClassifierTest, FollowsAChangingMix)
{
    Testing::checkProperty("classes follow the traffic's scale and mix", [] {
        RandomEngine random(*rc::gen::arbitrary<std::uint64_t>());
        LengthClassifier classifier;
        TimePoint now;
        for (int phase = 0; phase < 2; ++phase) {
            const double scale = *rc::gen::inRange(200, 10'000);
            const int longEvery = *rc::gen::inRange(5, 100);
            // The prompts span ten minutes, in which the weight of the former phase decays to a thousandth.
            observePrompts(classifier, now, 30'000, scale, longEvery, random);
            RC_ASSERT(classifier.classify(static_cast<std::uint64_t>(8 * scale)) != LengthClass::Long);
            RC_ASSERT(classifier.classify(static_cast<std::uint64_t>(130 * scale)) == LengthClass::Long);
            RC_ASSERT(classifier.classify(static_cast<std::uint64_t>(scale)) == LengthClass::Short);
            RC_ASSERT(classifier.shortBound() <= classifier.mediumBound());
            const double longWork = 390.9;
            const double expected = longWork / (longWork + (longEvery - 1) * 3.909);
            RC_ASSERT(std::abs(classifier.longWorkShare() - expected) < 0.15);
        }
    });
}

// Guards against a long class in traffic without long prompts, which would keep a tenth of the upstreams' capacity from other prompts.
TEST(LengthClassifierTest, UniformTrafficHasNoLongClass)
{
    LengthClassifier classifier;
    TimePoint now;
    RandomEngine random(1);
    observePrompts(classifier, now, 5'000, 2'000, 1'000'000, random);
    CHECK(classifier.classify(20'000) != LengthClass::Long);
    DOUBLES_EQUAL(0, classifier.longWorkShare(), 1e-9);
}
