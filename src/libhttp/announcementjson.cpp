#include "announcementjson.h"

#include "jsonreader.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <limits>
#include <sstream>

namespace galenaturn::http {

namespace json = boost::json;

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_connections = 65536;
constexpr std::size_t max_tasks = 4096;
/** Maximum lease, age of a usage sample and latency in a message. */
constexpr std::int64_t max_span_us = std::int64_t{3600} * 1'000'000;

const std::vector<std::string> task_states{"starting",  "running", "checkpointing", "stopped",
                                           "succeeded", "failed",  "out_of_memory", "evicted"};
const std::vector<std::string> command_kinds{"start", "renew", "throttle", "checkpoint", "stop"};

/** Reads `key` as a monotonically increasing number, such as an epoch. */
template <class Number>
Number read_counter(json_reader& reader, std::string_view key)
{
    return Number{static_cast<std::uint64_t>(reader.number(key, 0, max_counter))};
}

template <class Name>
void check_id(json_reader& reader, const Name& id)
{
    const auto body_id = reader.optional_name("id");
    if (body_id && *body_id != id.value())
        reader.report("id", field_error::mismatch, "the id in the path");
}

std::optional<checkpoint_id> read_checkpoint(json_reader& reader)
{
    auto checkpoint_name = reader.optional_name("checkpoint");
    if (!checkpoint_name)
        return std::nullopt;
    return checkpoint_id{std::move(*checkpoint_name)};
}

wire::worker_task read_task(json_reader& reader)
{
    wire::worker_task task;
    task.id = task_id{reader.name("id")};
    task.assignment = read_counter<epoch>(reader, "epoch");
    task.state = static_cast<wire::worker_task_state>(reader.choice("state", task_states));
    task.checkpoint = read_checkpoint(reader);
    task.used = reader.amounts("used");
    task.reason = reader.text("reason");
    reader.finish();
    return task;
}

wire::worker_command read_command(json_reader& reader)
{
    wire::worker_command command;
    command.kind = static_cast<wire::worker_command_kind>(reader.choice("kind", command_kinds));
    command.id = task_id{reader.name("id")};
    command.assignment = read_counter<epoch>(reader, "epoch");
    command.job = job_id{reader.optional_name("job").value_or("")};
    command.demand = reader.amounts("demand");
    command.checkpoint = read_checkpoint(reader);
    command.processors = millicores{reader.number_or("processors_millicores", 0, 0, max_counter)};
    reader.finish();
    return command;
}

std::string endpoint_text(const ip_endpoint& address)
{
    std::ostringstream out;
    out << address;
    return out.str();
}

json::object amounts_json(const resources& amounts)
{
    json::object object;
    object["processors_millicores"] = amounts.processors.value();
    object["memory_bytes"] = amounts.memory.value();
    object["accelerators"] = amounts.accelerators.value();
    return object;
}

json::object task_json(const wire::worker_task& task)
{
    json::object object;
    object["id"] = task.id.value();
    object["epoch"] = task.assignment.value();
    object["state"] = to_string(task.state);
    if (task.checkpoint)
        object["checkpoint"] = task.checkpoint->value();
    object["used"] = amounts_json(task.used);
    object["reason"] = task.reason;
    return object;
}

json::object command_json(const wire::worker_command& command)
{
    json::object object;
    object["kind"] = to_string(command.kind);
    object["id"] = command.id.value();
    object["epoch"] = command.assignment.value();
    if (!command.job.empty())
        object["job"] = command.job.value();
    object["demand"] = amounts_json(command.demand);
    if (command.checkpoint)
        object["checkpoint"] = command.checkpoint->value();
    object["processors_millicores"] = command.processors.value();
    return object;
}

} // namespace

parsed_json<wire::upstream_announcement> parse_upstream_announcement(std::string_view body,
                                                                     const upstream_id& id)
{
    parsed_json<wire::upstream_announcement> parsed;
    const auto document = parse_document(body, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    json_reader reader{document, "", parsed.problems};
    auto& message = parsed.message;
    check_id(reader, id);
    message.id = id;
    message.service = service_id{reader.name("service")};
    message.domain = failure_domain_id{reader.name("failure_domain")};
    message.rack = rack_id{reader.name("rack")};
    message.address = reader.endpoint("address");
    message.incarnation_number = read_counter<incarnation>(reader, "incarnation");
    message.sequence = static_cast<std::uint64_t>(reader.number("sequence", 0, max_counter));
    message.slots = static_cast<std::uint32_t>(reader.number("slots", 1, max_slots));
    message.connections =
        static_cast<std::uint32_t>(reader.number("connections", 1, max_connections));
    message.busy_slots =
        static_cast<std::uint32_t>(reader.number_or("busy_slots", 0, 0, max_slots));
    message.leaving = reader.flag("leaving");
    reader.finish();
    return parsed;
}

parsed_json<wire::worker_announcement> parse_worker_announcement(std::string_view body,
                                                                 const worker_id& id)
{
    parsed_json<wire::worker_announcement> parsed;
    const auto document = parse_document(body, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    json_reader reader{document, "", parsed.problems};
    auto& message = parsed.message;
    check_id(reader, id);
    message.id = id;
    message.domain = failure_domain_id{reader.name("failure_domain")};
    message.rack = rack_id{reader.name("rack")};
    message.incarnation_number = read_counter<incarnation>(reader, "incarnation");
    message.heartbeat = read_counter<heartbeat_number>(reader, "heartbeat");
    message.capacity = reader.amounts("capacity");
    for (auto& task : reader.objects("tasks", max_tasks))
        message.tasks.push_back(read_task(task));
    message.usage_age = duration{reader.number_or("usage_age_us", 0, 0, max_span_us)};
    message.service_latency = duration{reader.number_or("service_latency_us", 0, 0, max_span_us)};
    message.leaving = reader.flag("leaving");
    reader.finish();
    return parsed;
}

parsed_json<wire::worker_response> parse_worker_answer(std::string_view body)
{
    parsed_json<wire::worker_response> parsed;
    const auto document = parse_document(body, parsed.problems);
    if (!parsed.problems.empty())
        return parsed;
    json_reader reader{document, "", parsed.problems};
    auto& message = parsed.message;
    message.heartbeat = read_counter<heartbeat_number>(reader, "heartbeat");
    message.stewardship = read_counter<epoch>(reader, "stewardship");
    message.lease = duration{reader.number("lease_us", 0, max_span_us)};
    for (auto& command : reader.objects("commands", max_tasks))
        message.commands.push_back(read_command(command));
    reader.finish();
    return parsed;
}

std::string to_json(const wire::upstream_announcement& announcement)
{
    json::object object;
    object["id"] = announcement.id.value();
    object["service"] = announcement.service.value();
    object["failure_domain"] = announcement.domain.value();
    object["rack"] = announcement.rack.value();
    object["address"] = endpoint_text(announcement.address);
    object["incarnation"] = announcement.incarnation_number.value();
    object["sequence"] = announcement.sequence;
    object["slots"] = announcement.slots;
    object["connections"] = announcement.connections;
    object["busy_slots"] = announcement.busy_slots;
    object["leaving"] = announcement.leaving;
    return json::serialize(object);
}

std::string to_json(const wire::worker_announcement& announcement)
{
    json::object object;
    object["id"] = announcement.id.value();
    object["failure_domain"] = announcement.domain.value();
    object["rack"] = announcement.rack.value();
    object["incarnation"] = announcement.incarnation_number.value();
    object["heartbeat"] = announcement.heartbeat.value();
    object["capacity"] = amounts_json(announcement.capacity);
    json::array tasks;
    for (const auto& task : announcement.tasks)
        tasks.push_back(task_json(task));
    object["tasks"] = std::move(tasks);
    object["usage_age_us"] = announcement.usage_age.count();
    object["service_latency_us"] = announcement.service_latency.count();
    object["leaving"] = announcement.leaving;
    return json::serialize(object);
}

std::string to_json(const wire::worker_response& reply)
{
    json::object object;
    object["heartbeat"] = reply.heartbeat.value();
    object["stewardship"] = reply.stewardship.value();
    object["lease_us"] = reply.lease.count();
    json::array commands;
    for (const auto& command : reply.commands)
        commands.push_back(command_json(command));
    object["commands"] = std::move(commands);
    return json::serialize(object);
}

std::string problem_text(const std::vector<field_problem>& problems)
{
    std::string text;
    for (const auto& item : problems) {
        if (!text.empty())
            text += "; ";
        text += (item.pointer.empty() ? "/" : item.pointer) + ": " + to_string(item.error) +
                ", expected " + item.expected;
    }
    return text;
}

const char* to_string(field_error error)
{
    static constexpr std::array<const char*, 7> names{
        "malformed_document", "missing",       "wrong_type", "out_of_range",
        "unknown_value",      "unknown_field", "mismatch"};
    return names.at(static_cast<std::size_t>(error));
}

} // namespace galenaturn::http
