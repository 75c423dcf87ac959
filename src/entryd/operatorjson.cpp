#include "operatorjson.h"

#include <boost/json.hpp>

#include <limits>

namespace galenaturn::entryd {

namespace {

namespace json = boost::json;

constexpr double millicores_per_processor = 1000;

json::object resources_object(const resources& sizes)
{
    return {
        {"processors", static_cast<double>(sizes.processors.value()) / millicores_per_processor},
        {"memory_bytes", sizes.memory.value()},
        {"accelerators", sizes.accelerators.value()}};
}

json::object task_object(const wire::task_record& task)
{
    json::object body{{"id", task.id.value()},
                      {"job", task.job.value()},
                      {"owner", task.owner.value()},
                      {"class", to_string(task.task_class)},
                      {"phase", to_string(task.phase)},
                      {"outcome", to_string(task.outcome)},
                      {"reason", task.reason},
                      {"failure_domain", task.domain.value()},
                      {"worker", task.worker.value()},
                      {"epoch", task.assignment.value()},
                      {"attempts", task.attempts},
                      {"submitted", format_wall_time(task.submitted)},
                      {"cancel_requested", task.cancel_requested},
                      {"stop_requested", task.stop_requested},
                      {"demand", resources_object(task.demand)}};
    if (task.deadline != wall_time{})
        body["deadline"] = format_wall_time(task.deadline);
    if (task.checkpoint)
        body["checkpoint"] = task.checkpoint->value();
    return body;
}

/** Reads the members of one JSON object; each problem becomes a finding. */
class json_reader {
public:
    json_reader(const json::object& source, findings& found) : source_{source}, found_{found} {}

    /** Returns the string at `key`; empty if it is missing or not a string. */
    std::string text(std::string_view key, bool required)
    {
        recognized_keys_.emplace_back(key);
        const auto* value = source_.if_contains(key);
        if (value == nullptr) {
            if (required)
                report(key, "is missing", "add it");
            return {};
        }
        if (value->is_string())
            return std::string{value->get_string()};
        report(key, "is not a string", "write it in quotes");
        return {};
    }

    std::int64_t count(std::string_view key)
    {
        recognized_keys_.emplace_back(key);
        const auto* value = source_.if_contains(key);
        if (value == nullptr)
            return 0;
        if (value->is_int64() && value->get_int64() >= 0)
            return value->get_int64();
        report(key, "is not a non-negative integer", "write a whole number from 0 up");
        return 0;
    }

    const json::object* object(std::string_view key)
    {
        recognized_keys_.emplace_back(key);
        const auto* value = source_.if_contains(key);
        if (value == nullptr)
            return nullptr;
        if (value->is_object())
            return &value->get_object();
        report(key, "is not an object", "write {...}");
        return nullptr;
    }

    void report(std::string_view key, const std::string& problem, const std::string& fix)
    {
        found_.add({"request body", 0, 0}, "'" + std::string{key} + "' " + problem, fix);
    }

    void finish()
    {
        for (const auto& member : source_) {
            if (std::find(recognized_keys_.begin(), recognized_keys_.end(), member.key()) ==
                recognized_keys_.end())
                report(member.key(), "is unknown", "remove or rename it");
        }
    }

private:
    const json::object& source_;
    findings& found_;
    std::vector<std::string> recognized_keys_;
};

resources parse_demand(const json::object& source, findings& found)
{
    json_reader reader{source, found};
    resources demand;
    const auto processors = parse_processors(reader.text("processors", true));
    const auto memory = parse_bytes(reader.text("memory", true));
    if (!processors)
        reader.report("processors", "is not a number of processors", "write \"0.5\" or \"8\"");
    if (!memory)
        reader.report("memory", "is not an amount of memory", "write \"64MiB\" or \"2GiB\"");
    demand.processors = processors.value_or(millicores{});
    demand.memory = memory.value_or(bytes{});
    demand.accelerators = accelerator_count{reader.count("accelerators")};
    reader.finish();
    return demand;
}

wall_time parse_task_deadline(const std::string& text, wall_time now, json_reader& reader)
{
    if (text.empty())
        return {};
    const auto deadline = parse_deadline(text, now);
    if (!deadline) {
        reader.report("deadline", "is '" + text + "'",
                      "write a time such as 2026-03-05T18:00:00Z or a span such as 2h");
        return {};
    }
    if (*deadline <= now)
        reader.report("deadline", "has passed", "write a later time");
    return *deadline;
}

} // namespace

std::string task_json(const wire::task_record& task)
{
    return json::serialize(task_object(task));
}

std::string tasks_json(const std::vector<wire::task_record>& tasks)
{
    json::array list;
    for (const auto& task : tasks)
        list.emplace_back(task_object(task));
    return json::serialize(json::object{{"tasks", std::move(list)}});
}

std::string history_json(const std::vector<wire::catalogue_document>& versions)
{
    json::array list;
    for (const auto& version : versions)
        list.emplace_back(json::object{{"version", version.version.value()},
                                       {"digest", version.digest},
                                       {"author", version.author}});
    return json::serialize(json::object{{"versions", std::move(list)}});
}

std::string outcome_json(const wire::command_response& response)
{
    json::object body{{"status", to_string(response.status)}, {"reason", response.reason}};
    if (response.version.value() != 0) {
        body["version"] = response.version.value();
        body["digest"] = response.digest;
    }
    return json::serialize(body);
}

std::string ledger_json(const wire::ledger_status& ledger)
{
    json::array voters;
    for (const auto& voter : ledger.voters)
        voters.emplace_back(voter.value());
    json::array learners;
    for (const auto& learner : ledger.learners)
        learners.emplace_back(learner.value());
    return json::serialize(json::object{{"leader", ledger.leader.value()},
                                        {"term", ledger.current_term.value()},
                                        {"committed", ledger.committed.value()},
                                        {"applied", ledger.applied.value()},
                                        {"voters", std::move(voters)},
                                        {"learners", std::move(learners)}});
}

start_request parse_start(const task_id& id, const std::string& body, wall_time now,
                          findings& found)
{
    start_request request;
    request.start.id = id;
    request.start.submitted = now;
    boost::system::error_code error;
    const auto document = json::parse(body, error);
    if (error || !document.is_object()) {
        found.add({"request body", 0, 0}, "not a JSON object", "write {\"job\": \"NAME\"}");
        return request;
    }
    json_reader reader{document.get_object(), found};
    request.start.job = job_id{reader.text("job", true)};
    const auto deadline = reader.text("deadline", false);
    request.start.deadline = parse_task_deadline(deadline, now, reader);
    request.relative_deadline = parse_duration(deadline).has_value();
    if (const auto* demand = reader.object("demand"))
        request.start.demand = parse_demand(*demand, found);
    reader.finish();
    return request;
}

wire::voter_change_request parse_voter_change(const std::string& body, findings& found)
{
    wire::voter_change_request change;
    boost::system::error_code error;
    const auto document = json::parse(body, error);
    if (error || !document.is_object()) {
        found.add({"request body", 0, 0}, "not a JSON object", "write {\"change\": \"add\", ...}");
        return change;
    }
    json_reader reader{document.get_object(), found};
    const auto kind = reader.text("change", true);
    change.process = process_id{reader.text("process", kind == "add")};
    change.voter = voter_id{reader.text("voter", kind != "add")};
    reader.finish();
    if (kind == "add")
        change.kind = wire::voter_change_kind::add;
    else if (kind == "promote")
        change.kind = wire::voter_change_kind::promote;
    else if (kind == "remove")
        change.kind = wire::voter_change_kind::remove;
    else
        reader.report("change", "is '" + kind + "'", "write add, promote or remove");
    return change;
}

bool is_resend(const start_request& request, const wire::task_record& existing)
{
    const auto& start = request.start;
    const bool same_deadline = request.relative_deadline ? existing.deadline != wall_time{}
                                                         : existing.deadline == start.deadline;
    return existing.job == start.job && same_deadline &&
           (!start.demand || *start.demand == existing.demand);
}

http::response make_findings_problem(const std::string& reason, const findings& found)
{
    auto reply = http::make_problem(
        {http::status::unprocessable_entity, reason, "nothing was changed; see findings", 0, true});
    auto body = json::parse(reply.body()).as_object();
    json::array list;
    for (const auto& item : found.items())
        list.emplace_back(json::object{{"file", item.place.file},
                                       {"line", item.place.line},
                                       {"column", item.place.column},
                                       {"problem", item.problem},
                                       {"fix", item.fix}});
    body["findings"] = std::move(list);
    reply.body() = json::serialize(body);
    reply.prepare_payload();
    return reply;
}

http::response make_conflict_problem(const wire::command_response& response)
{
    auto reply = http::make_problem(
        {http::status::conflict, "version_conflict",
         "another version is in force; read it, and apply to that version", 0, true});
    auto body = json::parse(reply.body()).as_object();
    body["version"] = response.version.value();
    body["digest"] = response.digest;
    reply.body() = json::serialize(body);
    reply.prepare_payload();
    return reply;
}

} // namespace galenaturn::entryd
