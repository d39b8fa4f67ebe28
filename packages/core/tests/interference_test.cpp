#include "carobflow/core/interference.h"
#include "seedrange.h"
#include "simulatedslowdowns.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

ServiceWindow window(double tail, std::vector<std::string> classes, double load = 0.5)
{
    return {.service = "desk",
            .completed = 1000,
            .p99Milliseconds = tail,
            .load = load,
            .length = Milliseconds(1000),
            .jobClasses = std::move(classes)};
}

} // namespace

TEST_CASE("Slowdowns are learned from tail latencies with and without a class", "[interference]")
{
    InterferenceModel model({});
    const auto unknown = model.predict("desk", "reseam", 0.5);
    CHECK(unknown.factor == Approx(1.15));
    CHECK(unknown.confidence == 0);

    for (int i = 0; i < 100; ++i) {
        model.observe(window(50, {}));
        model.observe(window(100, {"reseam"}));
    }
    const auto known = model.predict("desk", "reseam", 0.5);
    CHECK(known.factor == Approx(2).epsilon(0.05));
    CHECK(known.confidence > 0.9);

    SECTION("a class that was never observed stays unknown")
    {
        CHECK(model.predict("desk", "zip", 0.5).confidence == 0);
        CHECK(model.predict("proofs", "reseam", 0.5).confidence == 0);
    }
    SECTION("a prediction far from the observed loads is less certain")
    {
        CHECK(model.predict("desk", "reseam", 1).confidence < known.confidence);
    }
    SECTION("classes observed only together are separated only as far as one of them is known")
    {
        for (int i = 0; i < 100; ++i) {
            model.observe(window(150, {"reseam", "zip"}));
        }
        CHECK(model.predict("desk", "zip", 0.5).factor == Approx(1.5).epsilon(0.1));

        for (int i = 0; i < 100; ++i) {
            model.observe(window(200, {"watch", "print"}));
        }
        // Either class alone could cause the slowdown, so more windows must not make the model confident about one.
        CHECK(model.predict("desk", "watch", 0.5).confidence < 0.6);
    }
    SECTION("a throttled class counts in proportion to its share")
    {
        const std::vector<double> half{0.5};
        for (int i = 0; i < 100; ++i) {
            model.observe(window(60, {"print"}), half);
        }
        CHECK(model.predict("desk", "print", 0.5).factor == Approx(1.44).epsilon(0.1));
    }
    SECTION("windows with too few requests or invalid values are ignored")
    {
        auto bad = window(5000, {"reseam"});
        bad.completed = 5;
        model.observe(bad);
        model.observe(window(0, {"reseam"}));
        model.observe(window(std::nan(""), {"reseam"}));
        CHECK(model.predict("desk", "reseam", 0.5).factor == known.factor);
    }
    SECTION("a single outlier hardly moves the estimate")
    {
        model.observe(window(50000, {"reseam"}));
        CHECK(model.predict("desk", "reseam", 0.5).factor == Approx(known.factor).epsilon(0.05));
    }
    SECTION("the estimate follows a lasting change")
    {
        for (int i = 0; i < 2000; ++i) {
            model.observe(window(50, {}));
            model.observe(window(75, {"reseam"}));
        }
        CHECK(model.predict("desk", "reseam", 0.5).factor == Approx(1.5).epsilon(0.05));
    }
}

TEST_CASE("The number of remembered classes is bounded", "[interference]")
{
    InterferenceModel model({.maxClasses = 3});
    for (int i = 0; i < 100; ++i) {
        model.observe(window(50, {}));
        model.observe(window(100, {"reseam"}));
    }
    for (int i = 0; i < 10; ++i) {
        model.observe(window(60, {"job" + std::to_string(i)}));
        model.observe(window(100, {"reseam"}));
    }
    // The class that is observed all the time must be kept, and the oldest one must be unknown again.
    CHECK(model.predict("desk", "reseam", 0.5).confidence > 0.9);
    CHECK(model.predict("desk", "job0", 0.5).confidence == 0);
    CHECK(model.predict("desk", "job9", 0.5).confidence > 0.5);
}

TEST_CASE("Learned slowdowns survive a change of leader", "[interference]")
{
    SimulatedSlowdowns slowdowns(1);
    InterferenceModel model({});
    for (int i = 0; i < 300; ++i) {
        model.observe(slowdowns.window(0.5, {{slowdowns.classes()[slowdowns.below(6)], 1}}));
    }
    const std::string text = boost::json::serialize(model.toJson());
    InterferenceModel restored({});

    SECTION("a restored model predicts the same")
    {
        REQUIRE(isOk(restored.restore(boost::json::parse(text))));
        for (const auto &jobClass : slowdowns.classes()) {
            CHECK(restored.predict("desk", jobClass, 0.7).factor
                  == Approx(model.predict("desk", jobClass, 0.7).factor));
            CHECK(restored.predict("desk", jobClass, 0.7).confidence
                  == Approx(model.predict("desk", jobClass, 0.7).confidence));
        }
        // The parser of Boost.JSON may change the last bit of a number, so some numbers are compared approximately.
        const auto before = model.toJson().at("services").at(0);
        const auto after = restored.toJson().at("services").at(0);
        for (const auto *key : {"name", "classes", "lastSeen", "observations", "priorVariances"}) {
            CHECK(before.at(key) == after.at(key));
        }
        const auto numbers = [](const boost::json::value &service, const char *key) {
            return boost::json::value_to<std::vector<double>>(service.at(key));
        };
        CHECK_THAT(numbers(after, "means"), Catch::Approx(numbers(before, "means")).epsilon(1e-12));
        CHECK_THAT(numbers(after, "covariance"), Catch::Approx(numbers(before, "covariance")).epsilon(1e-12));
    }
    SECTION("a damaged snapshot is rejected and changes nothing")
    {
        REQUIRE(isOk(restored.restore(boost::json::parse(text))));
        const auto kept = restored.toJson();
        auto damaged = boost::json::parse(text);
        damaged.as_object()["services"].as_array()[0].as_object()["covariance"].as_array().pop_back();
        CHECK(errorOf(restored.restore(damaged)).kind == ErrorKind::InvalidArgument);
        CHECK(errorOf(restored.restore(boost::json::parse("[1]"))).kind == ErrorKind::InvalidArgument);
        CHECK(restored.toJson() == kept);
    }
}

// Guards against slowdowns that are attributed to the wrong one of several neighbours.
TEST_CASE("The learned order of slowdowns agrees with the simulated one", "[interference][random]")
{
    forEachSeed(20, [](std::uint64_t seed) {
        INFO("seed " << seed);
        SimulatedSlowdowns slowdowns(seed);
        InterferenceModel model({});
        for (int i = 0; i < 3000; ++i) {
            std::vector<std::pair<std::string, double>> neighbours;
            for (const auto &jobClass : slowdowns.classes()) {
                if (slowdowns.below(3) == 0) {
                    neighbours.emplace_back(jobClass, 1);
                }
            }
            model.observe(slowdowns.window(slowdowns.uniform(0, 1), neighbours));
        }
        for (const double load : {0.2, 0.5, 0.8}) {
            for (const auto &first : slowdowns.classes()) {
                const auto prediction = model.predict("desk", first, load);
                CAPTURE(first, load, prediction.factor, slowdowns.effect(first, load));
                CHECK(prediction.confidence > 0.9);
                CHECK(std::log(prediction.factor) == Approx(slowdowns.effect(first, load)).margin(0.1));
                for (const auto &second : slowdowns.classes()) {
                    if (slowdowns.effect(first, load) > slowdowns.effect(second, load) + 0.08) {
                        CHECK(prediction.factor > model.predict("desk", second, load).factor);
                    }
                }
            }
        }
    });
}
