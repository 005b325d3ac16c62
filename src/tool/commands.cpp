#include "commands.h"

#include "configuration/configurationcodec.h"
#include "configuration/questionnaire.h"
#include "control/clusterview.h"
#include "membership/announcement.h"
#include "observability/logcorrelation.h"
#include "operations/acceptance.h"
#include "store/httpobjectclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <random>
#include <thread>

DEFINE_string(platform, "", "IP:PORT of the platform's object API");
DEFINE_string(processes, "", "IP:PORT of the processes' admin servers, separated by commas");
DEFINE_bool(json, false, "write JSON for machines");
DEFINE_int64(expect_generation, -1, "accept only on top of this generation");

namespace Tool {

using Store::attempt;

static constexpr std::chrono::milliseconds CallTimeout{3000};
static constexpr std::chrono::milliseconds ReadBackPause{300};

namespace {

struct Command
{
    std::string name;
    std::string arguments;
    std::string summary;
    std::size_t argumentCount;
    std::function<ExitCode(const std::vector<std::string> &)> run;
};

} // namespace

static ExitCode refuse(const std::string &reason)
{
    fmt::print(stderr, "gypsumwing: {}\n", reason);
    return ExitCode::BadInput;
}

static ExitCode fail(const std::string &reason)
{
    fmt::print(stderr, "gypsumwing: {}\n", reason);
    return ExitCode::Failed;
}

/// Calls \a use with the result of \a make, or prints why the file was refused.
template<typename Make, typename Use>
static ExitCode withFile(Make make, Use use)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ExitCode> {
            BOOST_LEAF_AUTO(content, make());
            return use(content);
        },
        [](const Configuration::FileError &error) {
            fmt::print(stderr, "{}\n", Configuration::errorText(error));
            return ExitCode::BadInput;
        },
        [] { return ExitCode::Failed; });
}

/// Reads answers of a questionnaire, or a configuration that was generated from them.
static boost::leaf::result<Model::Configuration> loadConfiguration(const std::string &path)
{
    BOOST_LEAF_AUTO(document, Configuration::Document::load(path));
    if (document.root().is_object() && document.root().contains("answers"))
        return Configuration::decodeConfiguration(document);
    return Configuration::generateConfiguration(document);
}

/// Calls \a use with a client of the platform that --platform names.
template<typename Use>
static ExitCode withPlatform(Use use)
{
    const auto endpoint = Model::parseEndpoint(FLAGS_platform);
    if (!endpoint)
        return refuse("--platform needs IP:PORT");
    Store::HttpObjectClient client(*endpoint, CallTimeout);
    return use(client);
}

static ExitCode printTemplate(const std::vector<std::string> &)
{
    fmt::print("{}", Configuration::questionnaireTemplate());
    return ExitCode::Done;
}

static ExitCode generate(const std::vector<std::string> &arguments)
{
    return withFile([&] { return loadConfiguration(arguments[0]); },
                    [](const Model::Configuration &configuration) {
                        fmt::print("{}\n",
                                   Configuration::encodeConfiguration(configuration).dump(2));
                        return ExitCode::Done;
                    });
}

static ExitCode diff(const std::vector<std::string> &arguments)
{
    return withFile(
        [&] { return loadConfiguration(arguments[0]); },
        [](const Model::Configuration &candidate) {
            return withPlatform([&](auto &client) {
                const auto read =
                    attempt([&] { return client.read(std::string(Membership::ConfigurationKey)); });
                nlohmann::json before = nlohmann::json::object();
                if (const auto *object = std::get_if<Store::Object>(&read))
                    before = nlohmann::json::parse(object->value).at("answers");
                else if (std::get<Store::FailureKind>(read) != Store::FailureKind::NotFound)
                    return fail("the platform does not answer");
                const auto after = Configuration::encodeConfiguration(candidate).at("answers");
                fmt::print("{}\n", nlohmann::json::diff(before, after).dump(2));
                return ExitCode::Done;
            });
        });
}

static std::string newChangeId()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

static ExitCode report(const Operations::AcceptanceResult &result)
{
    switch (result.outcome) {
    case Operations::AcceptanceOutcome::InForce:
        if (FLAGS_json)
            fmt::print("{{\"generation\":{}}}\n", std::uint64_t(result.generation));
        else
            fmt::print("generation {} is in force\n", std::uint64_t(result.generation));
        return ExitCode::Done;
    case Operations::AcceptanceOutcome::Conflict:
        fmt::print(stderr, "gypsumwing: conflict: another configuration was accepted first\n");
        return ExitCode::Conflict;
    case Operations::AcceptanceOutcome::Unknown:
        fmt::print(stderr, "gypsumwing: unknown: the platform did not say; see status\n");
        return ExitCode::Unknown;
    case Operations::AcceptanceOutcome::Malformed:
        return fail("the platform's configuration can't be read; nothing was changed");
    case Operations::AcceptanceOutcome::Unavailable:
        break;
    }
    return fail("the platform does not answer; nothing was changed");
}

static ExitCode accept(const std::vector<std::string> &arguments)
{
    return withFile([&] { return loadConfiguration(arguments[0]); },
                    [](const Model::Configuration &candidate) {
                        return withPlatform([&](auto &client) {
                            std::optional<Model::Generation> expected;
                            if (FLAGS_expect_generation >= 0)
                                expected = Model::Generation(FLAGS_expect_generation);
                            return report(Operations::acceptConfiguration(
                                client, candidate, expected, newChangeId(), [](int number) {
                                    std::this_thread::sleep_for(ReadBackPause * (number + 1));
                                }));
                        });
                    });
}

/// Splits \a list at its commas.
static std::vector<std::string> separated(std::string_view list)
{
    std::vector<std::string> parts;
    while (!list.empty()) {
        const auto comma = list.find(',');
        parts.emplace_back(list.substr(0, comma));
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return parts;
}

static std::vector<std::string> processList()
{
    return separated(FLAGS_processes);
}

/// Returns the state dump of the process whose admin server is at \a address, or null.
static nlohmann::json stateOf(const std::string &address)
{
    const auto endpoint = Model::parseEndpoint(address);
    if (!endpoint)
        return nullptr;
    Store::HttpObjectClient client(*endpoint, CallTimeout);
    const auto page = attempt([&] { return client.page("/state"); });
    const auto *const text = std::get_if<std::string>(&page);
    const auto state = text ? nlohmann::json::parse(*text, nullptr, false) : nlohmann::json();
    return state.is_object() ? state : nlohmann::json();
}

static ExitCode status(const std::vector<std::string> &)
{
    const auto processes = processList();
    if (processes.empty())
        return refuse("--processes needs IP:PORT,...");
    ExitCode code = ExitCode::Done;
    nlohmann::json rows = nlohmann::json::array();
    for (const std::string &address : processes) {
        const nlohmann::json state = stateOf(address);
        nlohmann::json row{{"process", address}, {"answers", !state.is_null()}};
        if (state.is_null())
            code = ExitCode::Failed;
        for (const char *key : {"name", "role", "service", "state", "generation"}) {
            if (state.contains(key))
                row[key] = state[key];
        }
        rows.push_back(std::move(row));
    }
    if (FLAGS_json) {
        fmt::print("{}\n", rows.dump());
        return code;
    }
    fmt::print("{:<22}{:<16}{:<10}{:<14}{:<10}{}\n", "process", "name", "role", "service", "state",
               "generation");
    for (const auto &row : rows) {
        fmt::print("{:<22}{:<16}{:<10}{:<14}{:<10}{}\n", row.value("process", ""),
                   row.value("name", "-"), row.value("role", "-"), row.value("service", "-"),
                   row.value("state", "no answer"), row.value("generation", 0));
    }
    return code;
}

static ExitCode dump(const std::vector<std::string> &arguments)
{
    const nlohmann::json state = stateOf(arguments[0]);
    if (state.is_null())
        return fail("no answer from " + arguments[0]);
    fmt::print("{}\n", state.dump(2));
    return ExitCode::Done;
}

static ExitCode drain(const std::vector<std::string> &arguments)
{
    return withPlatform([&](auto &client) {
        const std::string key = Membership::instanceKey(arguments[0]);
        const auto read = attempt([&] { return client.read(key); });
        const auto *const object = std::get_if<Store::Object>(&read);
        if (!object) {
            const bool isMissing =
                std::get<Store::FailureKind>(read) == Store::FailureKind::NotFound;
            return isMissing ? refuse("no instance is announced as " + arguments[0])
                             : fail("the platform does not answer");
        }
        auto instance = Membership::decodeAnnouncement(object->value);
        if (!instance)
            return fail("the announcement can't be read");
        instance->state = Model::InstanceState::Draining;
        instance->drainRequested = true;
        const std::string value = Membership::encodeAnnouncement(*instance);
        const auto contains = [](const std::string &found) {
            const auto announced = Membership::decodeAnnouncement(found);
            return announced && announced->drainRequested;
        };
        const auto written = Store::writeOnce(
            client, key, value, Store::IfVersion{object->version}, contains,
            [](int number) { std::this_thread::sleep_for(ReadBackPause * (number + 1)); });
        switch (written.outcome) {
        case Store::WriteOutcome::Written:
            fmt::print("{} drains\n", arguments[0]);
            return ExitCode::Done;
        case Store::WriteOutcome::Conflict:
            fmt::print(stderr, "gypsumwing: conflict: the announcement changed; try again\n");
            return ExitCode::Conflict;
        case Store::WriteOutcome::Unknown:
            fmt::print(stderr, "gypsumwing: unknown: the platform did not say; see status\n");
            return ExitCode::Unknown;
        case Store::WriteOutcome::Failed:
            break;
        }
        return fail("the platform does not answer; nothing was changed");
    });
}

static void printChain(const char *title, const Routing::Chain &chain,
                       const Routing::ServiceTable &table)
{
    fmt::print("{}\n", title);
    std::size_t rank = 0;
    for (const Routing::Hop &hop : chain) {
        for (const Model::Instance &instance : table.instances()) {
            if (Model::instanceId(instance.name) != hop.instance)
                continue;
            fmt::print("  {}. {} at {}, {}, capacity {}, incarnation {}\n", ++rank, instance.name,
                       Model::endpointText(instance.tunnel), Model::stateText(instance.state),
                       instance.capacity, std::uint64_t(instance.incarnation));
        }
    }
    if (chain.isEmpty())
        fmt::print("  no instance\n");
}

static ExitCode explain(const std::vector<std::string> &arguments)
{
    const auto caller = Model::parseEndpoint(arguments[0]);
    const auto service = Model::parseEndpoint(arguments[1]);
    if (!caller || !service)
        return refuse("explain needs two IP:PORT");
    return withPlatform([&](auto &client) {
        const auto listed = attempt([&] { return client.list(""); });
        const auto *const listing = std::get_if<Store::Listing>(&listed);
        if (!listing)
            return fail("the platform does not answer");
        Control::ClusterView view;
        view.apply(*listing);
        const Routing::ServiceTable *const table = view.table()->find(*service);
        if (!table)
            return refuse("no service at " + arguments[1]);
        const std::uint64_t hash = Model::flowHash({*caller, *service});
        fmt::print("service {}, generation {}, flow hash {:016x}\n", table->service().name,
                   std::uint64_t(view.table()->generation()), hash);
        printChain("a new flow asks, until one takes it (draining and suspect ones are skipped):",
                   table->chainFor(hash, Routing::PacketKind::OpensFlow), *table);
        printChain("packets of an open flow ask, until its owner is found:",
                   table->chainFor(hash, Routing::PacketKind::ContinuesFlow), *table);
        return ExitCode::Done;
    });
}

static ExitCode trace(const std::vector<std::string> &arguments)
{
    std::vector<std::string> lines;
    for (const std::string &path : separated(arguments[1])) {
        std::ifstream file(path);
        if (!file)
            return refuse("can't read " + path);
        for (std::string line; std::getline(file, line);)
            lines.push_back(std::move(line));
    }
    const auto trail = Observability::correlatedLines(arguments[0], lines);
    if (trail.empty())
        return fail("no line names " + arguments[0]);
    for (const std::string &line : trail)
        fmt::print("{}\n", line);
    return ExitCode::Done;
}

static const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {"template", "", "print a questionnaire with comments to fill in", 0, printTemplate},
        {"generate", "ANSWERS", "check answers and print the configuration", 1, generate},
        {"diff", "ANSWERS", "show what accepting would change (--platform)", 1, diff},
        {"accept", "ANSWERS", "put a configuration in force (--platform, --expect_generation)", 1,
         accept},
        {"status", "", "show state and generation of processes (--processes, --json)", 0, status},
        {"dump", "ADMIN", "print the whole state of the process at IP:PORT", 1, dump},
        {"drain", "INSTANCE", "ask an agent to take nothing new (--platform)", 1, drain},
        {"explain", "CALLER SERVICE", "show which agents a flow asks, and why (--platform)", 2,
         explain},
        {"trace", "ID LOGS",
         "print the way of a request or flow from processes' logs (files, with ,)", 2, trace},
    };
    return all;
}

std::string help(const std::string &command)
{
    std::string text = "gypsumwing COMMAND [ARGUMENTS] [FLAGS]\n";
    for (const Command &known : commands()) {
        if (command.empty() || known.name == command)
            text += fmt::format("  {:<26}{}\n", known.name + ' ' + known.arguments, known.summary);
    }
    text += "flags: --platform IP:PORT  --processes IP:PORT,...  --json  --expect_generation N\n"
            "exit status: 0 done, 1 no answer, 2 refused, 3 conflict, 4 outcome unknown\n";
    return text;
}

ExitCode run(const std::vector<std::string> &words)
{
    if (words.empty() || words[0] == "help") {
        fmt::print("{}", help(words.size() > 1 ? words[1] : ""));
        return words.empty() ? ExitCode::BadInput : ExitCode::Done;
    }
    for (const Command &command : commands()) {
        if (command.name != words[0])
            continue;
        if (words.size() != command.argumentCount + 1)
            return refuse(
                fmt::format("{} {}: wrong number of arguments", command.name, command.arguments));
        return command.run({words.begin() + 1, words.end()});
    }
    return refuse("unknown command " + words[0] + "; see help");
}

} // namespace Tool
