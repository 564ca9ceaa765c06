#include "PlatformTranslator.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "Property.h"

#include <string>

using namespace Mangofall;
using namespace Mangofall::Platform;
using namespace Mangofall::Forwarding;

namespace {

namespace BeastHttp = boost::beast::http;

struct Message {
    boost::asio::io_context io;
    boost::beast::tcp_stream stream{io};
    HttpExchange exchange;

    explicit Message(HttpExchange::Request request)
        : exchange(stream, std::move(request), TimePoint())
    {
    }
};

HttpExchange::Request callerMessage()
{
    HttpExchange::Request request(BeastHttp::verb::post, "/a/b?q=1", 11);
    request.set("Host", "h.example:80");
    request.set("Attempt-Id", "9c41");
    request.set("Deadline-Ms", "10000");
    request.set("Authorization", "Token secret");
    request.set("Token-Counts", "1460,80");
    request.set("Prompt-Prefix", "5c1e:800");
    request.set("Last-Event-Id", "12");
    request.body() = "body";
    return request;
}

std::string value(const UpstreamCall::Request &request, const char *name)
{
    const auto position = request.find(name);
    return position == request.end() ? std::string() : std::string(position->value());
}

}

TEST_GROUP(PlatformTranslatorTest){};

// Guards against a header field that is decoded into the wrong member.
TEST(PlatformTranslatorTest, ACallersRequestIsDecoded)
{
    const Message message(callerMessage());
    const auto decoded = PlatformTranslator().decodeRequest(message.exchange);
    const auto &request = std::get<CallerRequest>(decoded);
    STRCMP_EQUAL("9c41", request.id.value().c_str());
    STRCMP_EQUAL("h.example", request.hostName.c_str());
    STRCMP_EQUAL("/a/b", request.path.c_str());
    CHECK(request.callerTimeout == std::chrono::milliseconds(10'000));
    STRCMP_EQUAL("secret", request.credential->c_str());
    LONGS_EQUAL(1460, request.promptTokens);
    LONGS_EQUAL(80, request.outputTokens);
    LONGS_EQUAL(12, request.lastEventId);
}

// Guards against a request's own last part, or a part that is lost in a list of several fields, being taken for what requests share.
TEST(PlatformTranslatorTest, AllPartsOfThePromptButTheLastAreShared)
{
    HttpExchange::Request text = callerMessage();
    text.set("Prompt-Prefix", "5c1e:800, 91bd:410");
    text.insert("Prompt-Prefix", "e440:250");
    const Message message(text);
    const auto decoded = PlatformTranslator().decodeRequest(message.exchange);
    const std::vector<std::string> expected{"5c1e", "91bd"};
    CHECK(expected == std::get<CallerRequest>(decoded).sharedPromptParts);
    const Message single(callerMessage());
    CHECK(std::get<CallerRequest>(PlatformTranslator().decodeRequest(single.exchange)).sharedPromptParts.empty());
}

// Guards against a harmful part of a long prompt that is never held back, because parts beyond a number were not read.
TEST(PlatformTranslatorTest, NoSharedPartOfALongPromptIsLeftOut)
{
    std::string parts;
    for (int part = 0; part < 2000; ++part) {
        parts += "p" + std::to_string(part) + ":1,";
    }
    HttpExchange::Request text = callerMessage();
    text.set("Prompt-Prefix", parts + "dead:1,own:1");
    const Message message(text);
    const auto decoded = PlatformTranslator().decodeRequest(message.exchange);
    const std::vector<std::string> &shared = std::get<CallerRequest>(decoded).sharedPromptParts;
    LONGS_EQUAL(2001, shared.size());
    STRCMP_EQUAL("dead", shared.back().c_str());
}

// Guards against requests without an attempt id, or with two of them, reaching an upstream.
TEST(PlatformTranslatorTest, RequestsWithoutOneAttemptIdAreRefused)
{
    HttpExchange::Request missing = callerMessage();
    missing.erase("Attempt-Id");
    const Message first(missing);
    CHECK(std::holds_alternative<ErrorKind>(PlatformTranslator().decodeRequest(first.exchange)));
    HttpExchange::Request twice = callerMessage();
    twice.insert("Attempt-Id", "other");
    const Message second(twice);
    CHECK(std::holds_alternative<ErrorKind>(PlatformTranslator().decodeRequest(second.exchange)));
}

// Guards against a caller's API key reaching an upstream, and against a caller setting fields that only the serving layer may set.
TEST(PlatformTranslatorTest, AnUpstreamGetsNoApiKeyAndNoForgedField)
{
    HttpExchange::Request forged = callerMessage();
    forged.set("Tenant", "forged");
    forged.set("Target-Instance", "forged");
    forged.set("Helpers", "1.2.3.4:5");
    forged.set("Request-Priority", "0");
    forged.set("Connection", "keep-alive, X-Hop");
    forged.set("X-Hop", "1");
    forged.set("X-Other", "2");
    const Message message(forged);
    AttemptParameters parameters;
    parameters.upstream = UpstreamId("i-1");
    parameters.timeLeft = std::chrono::milliseconds(900);
    parameters.resumeAfter = 20;
    const CallerRequest request;
    const UpstreamCall::Request sent = PlatformTranslator().encodeRequest(message.exchange, request, parameters);
    STRCMP_EQUAL("", value(sent, "Authorization").c_str());
    STRCMP_EQUAL("", value(sent, "Tenant").c_str());
    STRCMP_EQUAL("", value(sent, "Helpers").c_str());
    STRCMP_EQUAL("", value(sent, "Request-Priority").c_str());
    STRCMP_EQUAL("", value(sent, "X-Hop").c_str());
    STRCMP_EQUAL("2", value(sent, "X-Other").c_str());
    STRCMP_EQUAL("i-1", value(sent, "Target-Instance").c_str());
    STRCMP_EQUAL("900", value(sent, "Deadline-Ms").c_str());
    STRCMP_EQUAL("20", value(sent, "Last-Event-Id").c_str());
    STRCMP_EQUAL("9c41", value(sent, "Attempt-Id").c_str());
    STRCMP_EQUAL("1460,80", value(sent, "Token-Counts").c_str());
    STRCMP_EQUAL("h.example:80", value(sent, "Host").c_str());
    STRCMP_EQUAL("/a/b?q=1", std::string(sent.target()).c_str());
    CHECK_TEXT(sent.body().empty(), "the body is sent as it is, without a copy");
}

// Guards against helpers or an organisation missing in the request to the upstream.
TEST(PlatformTranslatorTest, HelpersAndOrganisationAreSent)
{
    const Message message(callerMessage());
    AttemptParameters parameters;
    parameters.upstream = UpstreamId("i-1");
    parameters.organisation = OrganisationId("acme");
    parameters.helpers = {{{"10.0.0.2", 80}, "t81"}, {{"10.0.0.3", 81}, ""}};
    const UpstreamCall::Request sent = PlatformTranslator().encodeRequest(message.exchange, CallerRequest(), parameters);
    STRCMP_EQUAL("acme", value(sent, "Tenant").c_str());
    STRCMP_EQUAL("10.0.0.2:80/t81,10.0.0.3:81", value(sent, "Helpers").c_str());
}

// Guards against a load that is read from a header in another form, with its numbers exchanged.
TEST(PlatformTranslatorTest, AnUpstreamsLoadIsDecoded)
{
    const Placement::ReportedLoad load{3, 1, 12};
    for (const char *text : {"3,1,12", "3 1 12", "running=3, waiting=1, slots=12", "slots=12;running=3;waiting=1", R"({"running":3,"waiting":1,"slots":12})"}) {
        CHECK_TEXT(decodeLoad(text) == load, text);
    }
    for (const char *text : {"", "3,1", "3,1,12,4", "-3,1,12", "3,1,0", "0.3,1,12", "running=3,waiting=1", "3,1,99999999999999999999"}) {
        CHECK_FALSE_TEXT(decodeLoad(text).has_value(), text);
    }
}

// Guards against a notice that is missed, and against a Retry-After that cannot be read, or that belongs to another status, taking an upstream out of use.
TEST(PlatformTranslatorTest, AnUpstreamsNoticesAreDecoded)
{
    BeastHttp::fields fields;
    CHECK(decodeNotice(503, fields).empty());
    fields.set("Retry-After", "1.5");
    CHECK(decodeNotice(503, fields).pause == std::chrono::milliseconds(1500));
    CHECK(decodeNotice(500, fields).empty());
    for (const char *unreadable : {"soon", "-1", "0", "1s", "", "nan"}) {
        fields.set("Retry-After", unreadable);
        CHECK_TEXT(decodeNotice(503, fields).empty(), unreadable);
    }
    fields.set("Retry-After", "1e30");
    CHECK(decodeNotice(503, fields).pause == std::chrono::minutes(5));
    fields.set("Server-Leaving", "0");
    CHECK_FALSE(decodeNotice(200, fields).leaving);
    fields.set("Server-Leaving", "1");
    CHECK(decodeNotice(200, fields).leaving);
}

// Guards against numbers of a caller that overflow when times and costs are calculated with them.
TEST(PlatformTranslatorTest, NumbersOfACallerAreLimited)
{
    HttpExchange::Request request = callerMessage();
    request.set("Deadline-Ms", "18446744073709551615");
    request.set("Token-Counts", "18446744073709551615,18446744073709551615");
    const Message message(std::move(request));
    const auto decoded = PlatformTranslator().decodeRequest(message.exchange);
    const CallerRequest &callerRequest = std::get<CallerRequest>(decoded);
    CHECK(*callerRequest.callerTimeout > Duration::zero());
    CHECK(*callerRequest.callerTimeout <= std::chrono::hours(24));
    CHECK(callerRequest.promptTokens + callerRequest.outputTokens <= 2'000'000'000);
}
