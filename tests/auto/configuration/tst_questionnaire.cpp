#include "configuration/configurationcodec.h"
#include "configuration/questionnaire.h"

#include "property.h"

#include <boost/leaf/handle_errors.hpp>

using namespace Configuration;

static std::string problemOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(document, Document::parse("answers.json", text));
            BOOST_LEAF_CHECK(generateConfiguration(document));
            return std::string();
        },
        [](const FileError &error) { return errorText(error); },
        [] { return std::string("other"); });
}

static std::string answersWith(const std::string &secondName, const std::string &secondAddress,
                               const std::string &deadline = "2000")
{
    const auto service = [&](const std::string &name, const std::string &address) {
        return "{\"name\": \"" + name + "\",\n\"address\": \"" + address
               + "\",\n\"answerWithinMs\": " + deadline
               + ",\n\"slotsPerServer\": 3,\n\"connectionsPerServer\": 2000}";
    };
    return "{\"deployment\": \"test\",\n\"failureDomains\": [\"a\"],\n\"services\": [\n"
           + service("order-desk", "10.40.0.1:80") + ",\n" + service(secondName, secondAddress)
           + "]}";
}

TEST_GROUP(Questionnaire){};

TEST(Questionnaire, TemplateIsValid)
{
    STRCMP_EQUAL("", problemOf(std::string(questionnaireTemplate())).c_str());
}

TEST(Questionnaire, InvalidAnswersAreReportedWithLineAndKey)
{
    STRCMP_EQUAL("", problemOf(answersWith("yard-ticket", "10.40.0.2:80")).c_str());
    STRCMP_EQUAL("answers.json:9: /services/1/name: duplicate value (order-desk)",
                 problemOf(answersWith("order-desk", "10.40.0.2:80")).c_str());
    STRCMP_EQUAL("answers.json:10: /services/1/address: duplicate value (10.40.0.1:80)",
                 problemOf(answersWith("yard-ticket", "10.40.0.1:80")).c_str());
    STRCMP_EQUAL("answers.json:6: /services/0/answerWithinMs: out of range (from 10 to 600000)\n"
                 "answers.json:11: /services/1/answerWithinMs: out of range (from 10 to 600000)",
                 problemOf(answersWith("yard-ticket", "10.40.0.2:80", "1")).c_str());
    STRCMP_EQUAL("answers.json:6: /services/0/answerWithinMs: wrong type (an integer is expected)\n"
                 "answers.json:11: /services/1/answerWithinMs: wrong type (an integer is expected)",
                 problemOf(answersWith("yard-ticket", "10.40.0.2:80", "true")).c_str());
}

TEST(Questionnaire, GeneratedConfigurationSurvivesEncodingAndDecoding)
{
    const bool isSame = boost::leaf::try_handle_all(
        []() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(answers,
                            Document::parse("a", answersWith("yard-ticket", "10.40.0.2:80")));
            BOOST_LEAF_AUTO(generated, generateConfiguration(answers));
            generated.generation = Model::Generation(7);
            generated.recentChanges = {"b", "a"};
            BOOST_LEAF_AUTO(document, Document::parse("c", encodeConfiguration(generated).dump()));
            BOOST_LEAF_AUTO(decoded, decodeConfiguration(document));
            return decoded == generated;
        },
        [] { return false; });
    CHECK_TRUE(isSame);
}
