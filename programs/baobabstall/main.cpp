// baobabstall: the operators' command line.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include <lists/documents.h>

#include "commands.h"

namespace {

namespace po = boost::program_options;
using namespace baobabstall;
using cli::ExitCode;
using cli::Invocation;

constexpr auto platformVariable = "BAOBABSTALL_PLATFORM";

constexpr auto usageText = R"(Usage: baobabstall COMMAND [ARGUMENTS] [OPTIONS]

Commands
  check FILE                     check a settings or list file; nothing is sent
  publish customers|plans FILE   make the list in FILE the version in force; needs --by
  show                           what is in force, since when, and which hosts have it
  show customers|plans           the list in force, as a file to edit
  history                        the records of the lists and what became of each
  status                         what each daemon does now
  explain REQUEST-ID             the steps of a recent request
  story REQUEST-ID [FILE...]     the same from logs of all hosts, also of hosts that are gone; without files from standard input

)";

constexpr auto exitText = R"(
Exit codes
  0  done
  1  refused: a fault in a file, a refused publish, hosts that do not all have what is in force, an unknown request
  2  wrong use
  3  the platform or a daemon can't be reached; nothing was changed
  4  a publish that may yet take effect
)";

struct CommandShape {
    const char *name;
    std::size_t minArguments;
    std::size_t maxArguments;
    const char *arguments;
};

constexpr std::array<CommandShape, 7> shapes = {{{"check", 1, 1, "FILE"},
                                                 {"publish", 2, 2, "customers|plans FILE --by NAME"},
                                                 {"show", 0, 1, "[customers|plans]"},
                                                 {"history", 0, 0, ""},
                                                 {"status", 0, 0, ""},
                                                 {"explain", 1, 1, "REQUEST-ID"},
                                                 {"story", 1, 1'000, "REQUEST-ID [FILE...]"}}};

/// Wrong use: one line that says the fix.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

po::options_description visibleOptions()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("platform", po::value<std::string>(), "IP:PORT of the platform; default: $BAOBABSTALL_PLATFORM");
    add("by", po::value<std::string>(), "publish: your name, kept with the version");
    add("based-on", po::value<std::uint64_t>(), "publish: the version the file was edited from; refused when another is in force");
    add("restore", "publish: the log has lost what was in force, and no daemon knows it");
    add("limit", po::value<std::size_t>()->default_value(50), "history: newest records shown");
    add("json", "output for machines");
    add("help", "this text");
    add("version", "the program's version");
    return options;
}

po::variables_map parse(int argc, char **argv, const po::options_description &visible)
{
    po::options_description all;
    all.add(visible).add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(), values);
    po::notify(values);
    return values;
}

const CommandShape &shapeOf(const std::string &command)
{
    const auto *const shape = std::find_if(shapes.begin(), shapes.end(), [&](const CommandShape &known) { return command == known.name; });
    if (shape == shapes.end()) {
        throw UsageError("unknown command \"" + command + "\"; use check, publish, show, history, status, explain or story");
    }
    return *shape;
}

net::Address platformOf(const po::variables_map &values)
{
    const char *variable = std::getenv(platformVariable);
    const auto text = values.count("platform") > 0 ? values["platform"].as<std::string>() : std::string(variable == nullptr ? "" : variable);
    const auto address = net::Address::parse(text);
    if (!address) {
        throw UsageError("give the platform's address as --platform IP:PORT, for example --platform 10.0.0.9:7000");
    }
    return *address;
}

void readPublish(const po::variables_map &values, Invocation &invocation)
{
    if (values.count("by") == 0 || !lists::isValidEntryName(values["by"].as<std::string>())) {
        throw UsageError("give your name as --by NAME, of A-Z a-z 0-9 . _ -");
    }
    invocation.by = values["by"].as<std::string>();
    if (values.count("based-on") > 0) {
        invocation.basedOn = core::Offset(values["based-on"].as<std::uint64_t>());
    }
    invocation.restore = values.count("restore") > 0;
}

void checkArguments(const Invocation &invocation)
{
    const auto &shape = shapeOf(invocation.command);
    const auto count = invocation.arguments.size();
    if (count < shape.minArguments || count > shape.maxArguments) {
        throw UsageError(std::string("use: baobabstall ") + shape.name + ' ' + shape.arguments);
    }
    const bool takesList = invocation.command == "publish" || invocation.command == "show";
    if (takesList && count > 0 && !lists::parseListName(invocation.arguments[0])) {
        throw UsageError(std::string("use: baobabstall ") + shape.name + ' ' + shape.arguments);
    }
    if (invocation.command == "explain" && !lists::isValidEntryName(invocation.arguments[0])) {
        throw UsageError("a request id has only A-Z a-z 0-9 . _ -; it stands in the header X-Request-Id of each answer");
    }
}

Invocation invocationOf(const po::variables_map &values)
{
    const auto words = values.count("words") > 0 ? values["words"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (words.empty()) {
        throw UsageError("give a command: check, publish, show, history, status, explain or story; --help says more");
    }
    Invocation invocation;
    invocation.command = words.front();
    invocation.arguments.assign(words.begin() + 1, words.end());
    invocation.json = values.count("json") > 0;
    invocation.limit = values["limit"].as<std::size_t>();
    checkArguments(invocation);
    if (invocation.command == "publish") {
        readPublish(values, invocation);
    }
    if (invocation.command != "check" && invocation.command != "story") {
        invocation.platform = platformOf(values);
    }
    return invocation;
}

int runProgram(int argc, char **argv)
{
    const auto visible = visibleOptions();
    const auto values = parse(argc, argv, visible);
    if (values.count("help") > 0) {
        std::cout << usageText << visible << exitText;
        return static_cast<int>(ExitCode::Ok);
    }
    if (values.count("version") > 0) {
        std::cout << "baobabstall " << BAOBABSTALL_VERSION << '\n';
        return static_cast<int>(ExitCode::Ok);
    }
    return static_cast<int>(cli::runCommand(invocationOf(values), std::cout, std::cerr));
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const po::error &error) {
        std::cerr << "baobabstall: " << error.what() << "; --help lists commands and options\n";
    } catch (const UsageError &error) {
        std::cerr << "baobabstall: " << error.what() << '\n';
    }
    return static_cast<int>(ExitCode::Usage);
}
