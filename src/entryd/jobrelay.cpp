#include "jobrelay.h"

#include <array>

namespace galenaturn::entryd {

namespace asio = boost::asio;

using wire::job_response_status;
using wire::job_verb;

namespace {

constexpr std::array all_verbs{job_verb::submit, job_verb::show, job_verb::cancel, job_verb::count};

} // namespace

job_relay::job_relay(daemon::context& shared, daemon::roster_service& roster)
    : shared_{shared}, roster_{roster}, queues_version_{shared.metrics.make_gauge(
                                            "galenaturn_queues_version")},
      queues_regressions_{shared.metrics.make_counter("galenaturn_queues_regressions_total")}
{
    for (const auto status : wire::all_job_responses)
        response_counters_[status] = &shared.metrics.make_counter(
            "galenaturn_job_answers_total", {{"status", wire::to_string(status)}});
    for (const auto verb : all_verbs)
        latencies_[verb] = &shared.metrics.make_latency("galenaturn_job_relay_seconds",
                                                        {{"verb", wire::to_string(verb)}});
}

bool job_relay::ready() const
{
    return shared_.ready && !roster_.leader().empty();
}

asio::awaitable<wire::job_response> job_relay::forward(wire::job_request request,
                                                       time_point deadline)
{
    const auto arrived = monotonic_now();
    request.request = shared_.settings.self.id.value() + "-" + std::to_string(++last_request_);
    const auto relayed_id = request.request;
    const auto verb = request.verb;
    const auto job = request.job;
    const auto host = request.host;
    const auto path = request.path;
    const auto leader = roster_.leader();
    wire::job_response response;
    if (shared_.accepting)
        response = co_await forward_to_leader(std::move(request), deadline);
    else
        response = wire::unavailable_response("this process is stopping");
    const auto took = monotonic_now() - arrived;
    response_counters_[response.status]->add();
    latencies_[verb]->record(took);
    note_queues(response, relayed_id, leader, arrived);
    if (verb == job_verb::submit || response.status != job_response_status::ok)
        log_event(log_level::info, "job_relayed",
                  {{"request", relayed_id},
                   {"verb", wire::to_string(verb)},
                   {"job", job},
                   {"host", host},
                   {"path", path},
                   {"leader", leader},
                   {"status", wire::to_string(response.status)},
                   {"queues_version", response.queues_version},
                   {"term", response.queues_term},
                   {"reason", response.reason},
                   {"took_us", took.count()}});
    co_return response;
}

void job_relay::note_queues(const wire::job_response& response, const std::string& request,
                            const process_id& leader, time_point arrived)
{
    const auto before = queues_;
    const auto observation = observe_queues(queues_, response.queues_version, response.queues_term,
                                            arrived, monotonic_now());
    if (observation == queues_observation::newer) {
        queues_version_.set(static_cast<double>(queues_.version));
        log_event(log_level::info, "queues_observed",
                  {{"version", queues_.version},
                   {"previous", before.version},
                   {"request", request},
                   {"leader", leader},
                   {"term", queues_.observed_in}});
    }
    if (observation == queues_observation::regressed) {
        queues_regressions_.add();
        log_event(log_level::warning, "queues_regressed",
                  {{"version", response.queues_version},
                   {"newer", queues_.version},
                   {"newer_term", queues_.observed_in},
                   {"request", request},
                   {"leader", leader},
                   {"term", response.queues_term}});
    }
}

asio::awaitable<wire::job_response> job_relay::forward_to_leader(wire::job_request request,
                                                                 time_point deadline)
{
    const auto leader = roster_.leader();
    auto* link = leader.empty() ? nullptr : shared_.peers.find(leader);
    if (link == nullptr)
        co_return wire::unavailable_response("no leader of the ledger is known");
    co_return response_of(
        co_await link->call(wire::frame_kind::job_request, wire::encode(request), deadline));
}

wire::job_response response_of(const result<std::string>& reply)
{
    if (!reply && reply.error() == make_error_code(wire::wire_error::not_connected))
        return wire::unavailable_response("the leader is not connected");
    // From here on the leader may have received the request and acted on it.
    auto unknown = wire::unavailable_response("no answer from the leader in time");
    unknown.status = job_response_status::unknown;
    if (!reply)
        return unknown;
    auto response = wire::decode<wire::job_response>(reply.value());
    if (response)
        return std::move(response).value();
    unknown.reason = "the leader's answer is malformed";
    return unknown;
}

} // namespace galenaturn::entryd
