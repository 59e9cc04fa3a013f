#include "commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <random>

#include <nlohmann/json.hpp>

#include <core/clock.h>
#include <settings/json.h>
#include <settings/settings.h>

#include "platformsession.h"
#include "story.h"
#include "text.h"

namespace baobabstall::cli {

namespace {

using core::Offset;
using lists::ListDocument;
using lists::ListName;
using lists::Verdict;
using nlohmann::json;

constexpr std::array<ListName, 2> bothLists = {ListName::Customers, ListName::Plans};
constexpr int statusOk = 200;

/// Where a command writes.
struct Output {
    std::ostream &out;
    std::ostream &err;
    bool json;

    /// One finding for people on `err`, or for machines on `out`.
    ExitCode fail(ExitCode code, const std::string &outcome, const std::string &reason) const
    {
        if (json) {
            out << jsonLine({{"outcome", outcome}, {"reason", reason}}) << '\n';
        } else {
            err << outcome << ": " << reason << '\n';
        }
        return code;
    }

    ExitCode unreachable(const core::Error &why) const { return fail(ExitCode::Unreachable, "unreachable", why.text()); }
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string content{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    return file.is_open() && !file.bad() ? std::optional(std::move(content)) : std::nullopt;
}

std::size_t entriesOf(const ListDocument &document)
{
    return std::visit([](const auto &entries) { return entries.size(); }, document);
}

std::string versionText(Offset version)
{
    return std::to_string(version.value());
}

// ---- check ----

bool looksLikeList(const std::string &text)
{
    core::Error ignored;
    const auto value = settings::parseJson(text, "", settings::JsonOptions{}, ignored);
    return value && value->is_object() && (value->contains("customers") || value->contains("plans"));
}

ExitCode check(const Invocation &invocation, const Output &output)
{
    const auto &path = invocation.arguments.at(0);
    const auto text = readFile(path);
    if (!text) {
        return output.fail(ExitCode::Refused, "refused", path + ": can't be read; give the path of a readable file");
    }
    core::Error why;
    json result{{"outcome", "valid"}, {"file", path}};
    if (looksLikeList(*text)) {
        const auto document = lists::parseListFile(*text, path, why);
        if (!document) {
            return output.fail(ExitCode::Refused, "refused", why.reason);
        }
        result["kind"] = lists::listNameText(lists::listNameOf(*document));
        result["entries"] = entriesOf(*document);
    } else {
        const auto settings = settings::parseSettings(*text, path, why);
        if (!settings) {
            return output.fail(ExitCode::Refused, "refused", why.reason);
        }
        result["kind"] = "settings";
        result["host"] = settings->host.value();
    }
    if (output.json) {
        output.out << jsonLine(result) << '\n';
    } else {
        const auto detail = result.contains("host") ? "settings of host " + fieldText(result, "/host")
                                                    : fieldText(result, "/kind") + " list, " + fieldText(result, "/entries") + " entries";
        output.out << path << ": valid (" << detail << ")\n";
    }
    return ExitCode::Ok;
}

// ---- publish ----

/// Which entries a publish touches.
struct Difference {
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
};

template<typename Entries>
Difference differenceOf(const Entries &from, const Entries &to)
{
    Difference difference;
    for (const auto &[id, entry] : to) {
        const auto old = from.find(id);
        if (old == from.end()) {
            difference.added.push_back(id.value());
        } else if (!(old->second == entry)) {
            difference.changed.push_back(id.value());
        }
    }
    for (const auto &[id, entry] : from) {
        if (!to.contains(id)) {
            difference.removed.push_back(id.value());
        }
    }
    return difference;
}

Difference differenceOf(const ListDocument &from, const ListDocument &to)
{
    return std::visit(
        [&](const auto &entries) {
            using Entries = std::decay_t<decltype(entries)>;
            return differenceOf(std::get<Entries>(from), entries);
        },
        to);
}

std::string differenceText(const Difference &difference)
{
    const auto part = [](const char *verb, const std::vector<std::string> &names) {
        constexpr std::size_t maxNames = 5;
        auto text = std::to_string(names.size()) + ' ' + verb;
        for (std::size_t i = 0; i < std::min(names.size(), maxNames); ++i) {
            text += (i == 0 ? " (" : ", ") + names[i];
        }
        return text + (names.size() > maxNames ? ", ...)" : names.empty() ? "" : ")");
    };
    return part("added", difference.added) + ", " + part("changed", difference.changed) + ", " + part("removed", difference.removed);
}

/// An id that no other publish has.
std::string newGroup()
{
    std::random_device random;
    const auto high = std::uint64_t(random()) << 32U;
    return "publish-" + lists::digestText(high | random());
}

std::string inForceText(ListName list, const lists::InForce &inForce)
{
    return "version " + versionText(inForce.version) + " of " + std::string(lists::listNameText(list)) + " is in force, by "
        + (inForce.publisher.empty() ? "nobody" : inForce.publisher) + " since " + timeText(inForce.sinceMs);
}

/// Customers whose plan the other list lacks: not refused, since the two lists are published one after the other.
std::size_t customersWithoutPlan(const lists::Customers &customers, const lists::Plans &plans)
{
    return static_cast<std::size_t>(std::count_if(customers.begin(), customers.end(), [&](const auto &entry) { return !plans.contains(entry.second.plan); }));
}

void warnOfMissingPlans(const PlatformSession &session, const Output &output)
{
    const auto missing = customersWithoutPlan(session.lists().customers(), session.lists().plans());
    if (missing > 0) {
        output.err << "warning: " << missing << " customers hold a plan that the plans list in force lacks; their requests are refused until it has them\n";
    }
}

class Publisher
{
public:
    Publisher(const Invocation &invocation, const Output &output)
        : invocation_(invocation)
        , output_(output)
        , session_(invocation.platform)
    { }

    ExitCode run()
    {
        if (!readFiles()) {
            return ExitCode::Refused;
        }
        if (!session_.readLists(why_)) {
            return output_.unreachable(why_);
        }
        const auto inForce = session_.lists().inForce(list_);
        if (invocation_.restore) {
            return restore(inForce);
        }
        if (!inForce.isUpToDate) {
            return refuse("records of the log expired before a snapshot was written, so what is in force is not known; if no daemon knows it either, publish "
                          "with --restore");
        }
        if (invocation_.basedOn && *invocation_.basedOn != inForce.version) {
            return refuse("the file was edited from version " + versionText(*invocation_.basedOn) + ", but " + inForceText(list_, inForce)
                          + "; nothing was sent");
        }
        return change(inForce);
    }

private:
    bool readFiles()
    {
        const auto &path = invocation_.arguments.at(1);
        list_ = *lists::parseListName(invocation_.arguments.at(0));
        const auto text = readFile(path);
        if (!text) {
            refuse(path + ": can't be read; give the path of a readable list file");
            return false;
        }
        auto document = lists::parseListFile(*text, path, why_);
        if (!document) {
            refuse(why_.reason);
            return false;
        }
        if (lists::listNameOf(*document) != list_) {
            refuse(path + ": is a list of " + std::string(lists::listNameText(lists::listNameOf(*document))) + ", not of "
                   + std::string(lists::listNameText(list_)));
            return false;
        }
        document_ = std::move(*document);
        return true;
    }

    ExitCode change(const lists::InForce &inForce)
    {
        const auto before = session_.lists().document(list_);
        if (before == document_) {
            return tell("unchanged", inForce.version, inForceText(list_, inForce) + " and already says this; nothing was sent", {});
        }
        const auto difference = differenceOf(before, document_);
        const auto patch = lists::patchBetween(before, document_);
        const auto records = lists::ListsState::changeRecords(list_, inForce.version, patch, invocation_.by, group_, why_);
        return records ? send(*records, difference) : refuse(why_.reason);
    }

    ExitCode restore(const lists::InForce &inForce)
    {
        if (inForce.isUpToDate) {
            return refuse(inForceText(list_, inForce) + "; --restore is for a log that has lost it: publish without it");
        }
        const auto daemons = session_.askDaemons("/lists", why_);
        if (!daemons) {
            return output_.unreachable(why_);
        }
        for (const auto &daemon : *daemons) {
            const json::json_pointer known('/' + std::string(lists::listNameText(list_)) + "/known");
            if (daemon.body.is_object() && daemon.body.contains(known) && daemon.body.at(known) == true) {
                return refuse("host " + daemon.host.value() + " still knows what is in force and will write it to the log; wait and publish without --restore");
            }
        }
        const auto records = lists::ListsState::restoreRecords(document_, session_.lists().position(), core::civilMilliseconds(), invocation_.by, group_, why_);
        return records ? send(*records, differenceOf(session_.lists().document(list_), document_)) : refuse(why_.reason);
    }

    ExitCode send(const std::vector<lists::OutgoingRecord> &records, const Difference &difference)
    {
        const auto offset = session_.append(records, why_);
        if (!offset) {
            const bool unknown = why_.outcome == core::Outcome::Unknown || records.size() > 1;
            return unknown ? output_.fail(ExitCode::Unknown, "unknown", why_.text() + "; it may yet take effect: look with `baobabstall show`")
                           : output_.unreachable(why_);
        }
        const auto verdict = session_.verdictOn(group_, *offset, why_);
        if (!verdict) {
            return output_.fail(
                ExitCode::Unknown, "unknown", why_.text() + "; the record is at offset " + versionText(*offset) + ": look with `baobabstall show`");
        }
        if (verdict->kind == Verdict::Kind::Rejected) {
            return refuse(verdict->reason + "; " + inForceText(list_, session_.lists().inForce(list_)));
        }
        warnOfMissingPlans(session_, output_);
        return tell("accepted", verdict->version, differenceText(difference), difference);
    }

    ExitCode refuse(const std::string &reason)
    {
        const auto inForce = session_.lists().inForce(list_);
        if (output_.json) {
            output_.out << jsonLine({{"outcome", "refused"}, {"reason", reason}, {"in_force", inForce.version.value()}}) << '\n';
            return ExitCode::Refused;
        }
        return output_.fail(ExitCode::Refused, "refused", reason);
    }

    ExitCode tell(const std::string &outcome, Offset version, const std::string &text, const Difference &difference)
    {
        if (output_.json) {
            output_.out << jsonLine({{"outcome", outcome},
                                     {"list", lists::listNameText(list_)},
                                     {"version", version.value()},
                                     {"added", difference.added.size()},
                                     {"changed", difference.changed.size()},
                                     {"removed", difference.removed.size()}})
                        << '\n';
        } else {
            output_.out << outcome << ": " << lists::listNameText(list_) << " version " << version.value() << ": " << text << '\n';
        }
        return ExitCode::Ok;
    }

    const Invocation &invocation_;
    const Output &output_;
    PlatformSession session_;
    core::Error why_;
    ListName list_ = ListName::Customers;
    ListDocument document_;
    std::string group_ = newGroup();
};

// ---- show ----

json inForceJson(const lists::InForce &inForce)
{
    return {{"known", inForce.isUpToDate},
            {"version", inForce.version.value()},
            {"digest", lists::digestText(inForce.digest)},
            {"since_ms", inForce.sinceMs},
            {"by", inForce.publisher},
            {"entries", inForce.entryCount}};
}

/// Whether a daemon has exactly what the log says is in force.
bool hasInForce(const json &answer, ListName list, const lists::InForce &inForce)
{
    const auto path = '/' + std::string(lists::listNameText(list));
    return fieldText(answer, path + "/version") == versionText(inForce.version) && fieldText(answer, path + "/digest") == lists::digestText(inForce.digest);
}

ExitCode showDocument(const Invocation &invocation, const Output &output)
{
    const auto list = *lists::parseListName(invocation.arguments.at(0));
    PlatformSession session(invocation.platform);
    core::Error why;
    if (!session.readLists(why)) {
        return output.unreachable(why);
    }
    const auto inForce = session.lists().inForce(list);
    const auto empty = list == ListName::Customers ? ListDocument(lists::Customers()) : ListDocument(lists::Plans());
    auto whole = json::parse(lists::patchBetween(empty, session.lists().document(list)));
    whole.emplace(lists::listNameText(list), json::object());
    if (output.json) {
        output.out << jsonLine({{"in_force", inForceJson(inForce)}, {"document", whole}}) << '\n';
    } else {
        output.out << "// " << inForceText(list, inForce) << "; publish an edited copy with --based-on " << versionText(inForce.version) << '\n'
                   << whole.dump(4) << '\n';
    }
    return inForce.isUpToDate ? ExitCode::Ok : ExitCode::Refused;
}

void printShow(const PlatformSession &session, const std::vector<DaemonAnswer> &daemons, std::ostream &out)
{
    Table lists({"LIST", "VERSION", "DIGEST", "SINCE", "BY", "ENTRIES"});
    for (const auto list : bothLists) {
        const auto inForce = session.lists().inForce(list);
        lists.add({std::string(lists::listNameText(list)),
                   versionText(inForce.version) + (inForce.isUpToDate ? "" : "?"),
                   lists::digestText(inForce.digest),
                   timeText(inForce.sinceMs),
                   inForce.publisher.empty() ? "-" : inForce.publisher,
                   std::to_string(inForce.entryCount)});
    }
    lists.print(out);
    out << '\n';
    Table hosts({"HOST", "CUSTOMERS", "PLANS", "NOTE"});
    for (const auto &daemon : daemons) {
        const bool same
            = std::all_of(bothLists.begin(), bothLists.end(), [&](ListName list) { return hasInForce(daemon.body, list, session.lists().inForce(list)); });
        const auto note = !daemon.error.empty() ? daemon.error : same ? "in force" : "differs";
        hosts.add({daemon.host.value(),
                   fieldText(daemon.body, "/customers/version"),
                   fieldText(daemon.body, "/plans/version"),
                   note + (daemon.isLeaving ? ", leaving" : "")});
    }
    hosts.print(out);
}

json showJson(const PlatformSession &session, const std::vector<DaemonAnswer> &daemons)
{
    json whole{{"lists", json::object()}, {"hosts", json::array()}};
    for (const auto list : bothLists) {
        whole["lists"][std::string(lists::listNameText(list))] = inForceJson(session.lists().inForce(list));
    }
    for (const auto &daemon : daemons) {
        json host{{"host", daemon.host.value()}, {"leaving", daemon.isLeaving}, {"error", daemon.error}, {"lists", daemon.body}, {"in_force", json::object()}};
        for (const auto list : bothLists) {
            host["in_force"][std::string(lists::listNameText(list))] = hasInForce(daemon.body, list, session.lists().inForce(list));
        }
        whole["hosts"].push_back(std::move(host));
    }
    return whole;
}

ExitCode show(const Invocation &invocation, const Output &output)
{
    if (!invocation.arguments.empty()) {
        return showDocument(invocation, output);
    }
    PlatformSession session(invocation.platform);
    core::Error why;
    if (!session.readLists(why)) {
        return output.unreachable(why);
    }
    const auto daemons = session.askDaemons("/lists", why);
    if (!daemons) {
        return output.unreachable(why);
    }
    if (output.json) {
        output.out << jsonLine(showJson(session, *daemons)) << '\n';
    } else {
        printShow(session, *daemons, output.out);
    }
    const bool all = std::all_of(daemons->begin(), daemons->end(), [&](const DaemonAnswer &daemon) {
        return std::all_of(bothLists.begin(), bothLists.end(), [&](ListName list) { return hasInForce(daemon.body, list, session.lists().inForce(list)); });
    });
    return all ? ExitCode::Ok : ExitCode::Refused;
}

// ---- history ----

ExitCode history(const Invocation &invocation, const Output &output)
{
    PlatformSession session(invocation.platform);
    core::Error why;
    if (!session.readLists(why)) {
        return output.unreachable(why);
    }
    Table table({"OFFSET", "TIME", "LIST", "VERDICT", "BY", "REASON"});
    const auto &records = session.history();
    for (auto i = records.size() - std::min(records.size(), invocation.limit); i < records.size(); ++i) {
        const auto &[offset, timeMs, verdict] = records[i];
        const auto list = verdict.list ? std::string(lists::listNameText(*verdict.list)) : "-";
        const auto kind = std::string(lists::verdictText(verdict.kind));
        if (output.json) {
            output.out << jsonLine({{"offset", offset.value()},
                                    {"time_ms", timeMs},
                                    {"list", list},
                                    {"verdict", kind},
                                    {"by", verdict.publisher},
                                    {"group", verdict.group},
                                    {"reason", verdict.reason}})
                       << '\n';
        } else {
            table.add({versionText(offset),
                       timeText(timeMs),
                       list,
                       kind,
                       verdict.publisher.empty() ? "-" : verdict.publisher,
                       verdict.reason.empty() ? "-" : verdict.reason});
        }
    }
    if (!output.json) {
        table.print(output.out);
    }
    return ExitCode::Ok;
}

// ---- status ----

std::string itemsOf(const json &body, const char *key)
{
    const bool isList = body.is_object() && body.contains(key) && body[key].is_array();
    return isList ? std::to_string(body[key].size()) : "-";
}

void addDaemonRow(const DaemonAnswer &daemon, Table &table)
{
    const auto &body = daemon.body;
    const auto state = !daemon.error.empty()     ? "no answer"
        : fieldText(body, "/stopping") == "true" ? "stopping"
        : fieldText(body, "/ready") == "true"    ? "ready"
                                                 : "not ready";
    table.add({daemon.host.value(),
               daemon.zone.value(),
               state + (daemon.isLeaving ? std::string(", leaving") : std::string()),
               fieldText(body, "/in_flight"),
               itemsOf(body, "engines_owned"),
               fieldText(body, "/partitions_owned"),
               fieldText(body, "/lists/customers/version"),
               fieldText(body, "/lists/plans/version"),
               !daemon.error.empty() ? daemon.error : fieldText(body, "/log/error")});
}

void addEngineRows(const DaemonAnswer &daemon, Table &table)
{
    const auto &body = daemon.body;
    if (!body.is_object() || !body.contains("engines_owned") || !body["engines_owned"].is_array()) {
        return;
    }
    for (const auto &engine : body["engines_owned"]) {
        table.add({fieldText(engine, "/engine"),
                   daemon.host.value(),
                   fieldText(engine, "/epoch"),
                   fieldText(engine, "/running"),
                   fieldText(engine, "/waiting"),
                   engine.is_object() ? itemsOf(engine, "resident") : "-"});
    }
}

ExitCode status(const Invocation &invocation, const Output &output)
{
    PlatformSession session(invocation.platform);
    core::Error why;
    const auto daemons = session.askDaemons("/status", why);
    if (!daemons) {
        return output.unreachable(why);
    }
    Table hosts({"HOST", "ZONE", "STATE", "IN FLIGHT", "ENGINES", "PARTITIONS", "CUSTOMERS", "PLANS", "LOG ERROR"});
    Table engines({"ENGINE", "OWNER", "EPOCH", "RUNNING", "WAITING", "ADAPTERS"});
    json whole = json::array();
    for (const auto &daemon : *daemons) {
        addDaemonRow(daemon, hosts);
        addEngineRows(daemon, engines);
        whole.push_back({{"host", daemon.host.value()}, {"leaving", daemon.isLeaving}, {"error", daemon.error}, {"status", daemon.body}});
    }
    if (output.json) {
        output.out << jsonLine(whole) << '\n';
    } else {
        hosts.print(output.out);
        output.out << '\n';
        engines.print(output.out);
    }
    const bool all = std::all_of(daemons->begin(), daemons->end(), [](const DaemonAnswer &daemon) { return daemon.error.empty(); });
    return all ? ExitCode::Ok : ExitCode::Unreachable;
}

// ---- explain ----

struct ExplainedStep {
    std::int64_t atMs = 0;
    std::vector<std::string> cells;
};

void addSteps(const DaemonAnswer &daemon, std::vector<ExplainedStep> &steps)
{
    if (!daemon.body.is_object() || !daemon.body.contains("steps") || !daemon.body["steps"].is_array()) {
        return;
    }
    for (const auto &step : daemon.body["steps"]) {
        const bool hasTime = step.is_object() && step.contains("at_ms") && step["at_ms"].is_number_integer();
        const auto atMs = hasTime ? step["at_ms"].get<std::int64_t>() : 0;
        steps.push_back({atMs, {timeText(atMs), daemon.host.value(), fieldText(step, "/step"), fieldText(step, "/peer"), fieldText(step, "/note")}});
    }
}

ExitCode explain(const Invocation &invocation, const Output &output)
{
    PlatformSession session(invocation.platform);
    core::Error why;
    const auto &request = invocation.arguments.at(0);
    const auto daemons = session.askDaemons("/explain/" + request, why);
    if (!daemons) {
        return output.unreachable(why);
    }
    std::vector<ExplainedStep> steps;
    json whole = json::array();
    std::size_t silent = 0;
    for (const auto &daemon : *daemons) {
        silent += daemon.status == 0 ? 1 : 0;
        if (daemon.status == statusOk) {
            addSteps(daemon, steps);
            whole.push_back(daemon.body);
        }
    }
    if (whole.empty()) {
        const auto unasked = silent > 0 ? "; " + std::to_string(silent) + " daemons did not answer" : std::string();
        return output.fail(silent > 0 ? ExitCode::Unreachable : ExitCode::Refused, "not found", "no daemon remembers request " + request + unasked);
    }
    std::stable_sort(steps.begin(), steps.end(), [](const ExplainedStep &a, const ExplainedStep &b) { return a.atMs < b.atMs; });
    Table table({"TIME", "HOST", "STEP", "PEER", "NOTE"});
    for (auto &step : steps) {
        table.add(std::move(step.cells));
    }
    if (output.json) {
        output.out << jsonLine(whole) << '\n';
    } else {
        table.print(output.out);
    }
    return ExitCode::Ok;
}

} // namespace

namespace {

ExitCode story(const Invocation &invocation, const Output &output)
{
    std::vector<std::string> lines;
    const auto &arguments = invocation.arguments;
    if (arguments.size() == 1) {
        lines = readLines(std::cin);
    }
    for (std::size_t at = 1; at < arguments.size(); ++at) {
        std::ifstream file(arguments[at]);
        if (!file) {
            output.err << "baobabstall: " << arguments[at] << ": can't be read\n";
            return ExitCode::Refused;
        }
        const auto more = readLines(file);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    const auto found = storyOf(lines, arguments[0]);
    if (!found) {
        output.err << "baobabstall: no log line names the request " << arguments[0] << "; were the logs of all hosts given?\n";
        return ExitCode::Refused;
    }
    for (const auto &line : found->lines) {
        output.out << line.time << ' ' << line.host << (line.isOwn ? " * " : "   ") << line.event << ' ' << line.rest << '\n';
    }
    return ExitCode::Ok;
}

} // namespace

ExitCode runCommand(const Invocation &invocation, std::ostream &out, std::ostream &err)
{
    static const std::map<std::string, ExitCode (*)(const Invocation &, const Output &)> commands = {
        {"check", check},
        {"publish", [](const Invocation &call, const Output &output) { return Publisher(call, output).run(); }},
        {"show", show},
        {"history", history},
        {"status", status},
        {"explain", explain},
        {"story", story},
    };
    return commands.at(invocation.command)(invocation, Output{out, err, invocation.json});
}

} // namespace baobabstall::cli
