#include "announcementservice.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace galenaturn::entryd {

namespace {

namespace json = boost::json;

/** Longer than the time for which the steward delays the reply to a heartbeat. */
constexpr std::chrono::milliseconds steward_timeout{2800};
/** Shorter than an announcement interval, so that a silent entry delays one announcement. */
constexpr std::chrono::milliseconds forward_timeout{400};
constexpr std::int64_t steward_retry_seconds = 1;
constexpr std::int64_t leaving_retry_seconds = 1;

const std::vector<std::string> refusal_reasons{"malformed_announcement", "leaving",
                                               "unknown_failure_domain", "steward_unreachable"};

http::response json_response(const json::object& body)
{
    return http::make_response(http::status::ok, json::serialize(body), "application/json");
}

} // namespace

announcement_service::announcement_service(daemon::context& shared, gossip_service& gossip)
    : shared_{shared}, gossip_{gossip}, workers_forwarded_{shared.metrics.make_counter(
                                            "galenaturn_worker_announcements_forwarded_total")},
      upstreams_forwarded_{
          shared.metrics.make_counter("galenaturn_upstream_announcements_passed_on_total")}
{
    for (const auto& reason : refusal_reasons)
        refusals_[reason] = &shared.metrics.make_counter("galenaturn_announcements_refused_total",
                                                         {{"reason", reason}});
    shared.routes.add(http::verb::put, "/v1/upstreams/{id}",
                      [this](http::call& incoming) { return put_upstream(incoming); });
    shared.routes.add(http::verb::put, "/v1/workers/{id}",
                      [this](http::call& incoming) { return put_worker(incoming); });
    shared.routes.add(http::verb::get, "/v1/upstreams",
                      [this](http::call&) -> boost::asio::awaitable<http::response> {
                          co_return list_upstreams();
                      });
    shared.routes.add(http::verb::get, "/v1/members",
                      [this](http::call&) -> boost::asio::awaitable<http::response> {
                          co_return list_members();
                      });
    shared.frames.on(
        wire::frame_kind::upstream_announcement,
        [this](const wire::hello&, const wire::frame& received, const wire::reply_function& reply) {
            on_forwarded_announcement(received, reply);
        });
}

result<void> announcement_service::start()
{
    return success();
}

boost::asio::awaitable<http::response> announcement_service::put_upstream(http::call& incoming)
{
    if (!shared_.accepting)
        co_return refuse_leaving();
    const auto parsed = http::parse_upstream_announcement(
        incoming.message.body(), upstream_id{incoming.parameters.at("id")});
    if (!parsed.problems.empty())
        co_return refuse_malformed(parsed.problems);
    if (!is_known_domain(parsed.message.domain))
        co_return refuse_unknown_domain(parsed.message.domain);
    json::object body;
    body["outcome"] = co_await deliver(parsed.message);
    body["announcement_interval_ms"] = membership::announcement_interval.count();
    co_return json_response(body);
}

boost::asio::awaitable<std::string>
announcement_service::deliver(wire::upstream_announcement announcement)
{
    if (announcement.domain == shared_.settings.self.domain)
        co_return to_string(gossip_.on_announcement(announcement));
    const auto payload = wire::encode(announcement);
    for (const auto& member : shared_.settings.members) {
        auto* link = shared_.peers.find(member.id);
        if (member.role != process_role::entry || member.domain != announcement.domain ||
            link == nullptr || !link->connected())
            continue;
        const auto reply = co_await link->call(wire::frame_kind::upstream_announcement, payload,
                                               monotonic_now() + forward_timeout);
        if (!reply)
            continue;
        upstreams_forwarded_.add();
        co_return reply.value();
    }
    co_return to_string(gossip_.on_announcement(announcement));
}

void announcement_service::on_forwarded_announcement(const wire::frame& received,
                                                     const wire::reply_function& reply)
{
    const auto announcement = wire::decode<wire::upstream_announcement>(received.payload);
    if (!announcement || !shared_.accepting)
        return;
    reply(to_string(gossip_.on_announcement(announcement.value())));
}

boost::asio::awaitable<http::response> announcement_service::put_worker(http::call& incoming)
{
    if (!shared_.accepting)
        co_return refuse_leaving();
    const auto parsed = http::parse_worker_announcement(incoming.message.body(),
                                                        worker_id{incoming.parameters.at("id")});
    if (!parsed.problems.empty())
        co_return refuse_malformed(parsed.problems);
    if (!is_known_domain(parsed.message.domain))
        co_return refuse_unknown_domain(parsed.message.domain);
    const auto payload = wire::encode(parsed.message);
    bool not_run = true;
    for (auto* control : find_controls(parsed.message.domain)) {
        workers_forwarded_.add();
        const auto reply = co_await control->call(wire::frame_kind::worker_announcement, payload,
                                                  monotonic_now() + steward_timeout);
        const auto response = reply ? wire::decode<wire::worker_response>(reply.value())
                                    : result<wire::worker_response>{reply.error()};
        if (response)
            co_return http::make_response(http::status::ok, http::to_json(response.value()),
                                          "application/json");
        not_run &= !reply && reply.error() == make_error_code(wire::wire_error::not_connected);
        if (!not_run)
            break;
    }
    refusals_.at("steward_unreachable")->add();
    co_return http::make_problem({http::status::service_unavailable, "steward_unreachable",
                                  "the steward of the worker's failure domain does not answer",
                                  steward_retry_seconds, not_run});
}

http::response
announcement_service::refuse_malformed(const std::vector<http::field_problem>& problems)
{
    refusals_.at("malformed_announcement")->add();
    return http::make_problem({http::status::bad_request, "malformed_announcement",
                               http::problem_text(problems), 0, true});
}

http::response announcement_service::refuse_leaving()
{
    refusals_.at("leaving")->add();
    return http::make_problem({http::status::service_unavailable, "leaving",
                               "this process is stopping; announce to another entry",
                               leaving_retry_seconds, true});
}

http::response announcement_service::refuse_unknown_domain(const failure_domain_id& domain)
{
    refusals_.at("unknown_failure_domain")->add();
    return http::make_problem({http::status::bad_request, "unknown_failure_domain",
                               "no member is in failure domain '" + domain.value() + "'", 0, true});
}

bool announcement_service::is_known_domain(const failure_domain_id& domain) const
{
    const auto& members = shared_.settings.members;
    return std::any_of(members.begin(), members.end(),
                       [&domain](const auto& member) { return member.domain == domain; });
}

std::vector<wire::peer_link*> announcement_service::find_controls(const failure_domain_id& domain)
{
    region_id region;
    for (const auto& member : shared_.settings.members) {
        if (member.domain == domain)
            region = member.region;
    }
    std::vector<wire::peer_link*> links;
    std::vector<wire::peer_link*> regional;
    std::vector<wire::peer_link*> remote;
    for (const auto& member : shared_.settings.members) {
        auto* link = shared_.peers.find(member.id);
        if (member.role != process_role::control || link == nullptr || !link->connected())
            continue;
        auto& group = member.domain == domain ? links : member.region == region ? regional : remote;
        group.push_back(link);
    }
    links.insert(links.end(), regional.begin(), regional.end());
    links.insert(links.end(), remote.begin(), remote.end());
    return links;
}

http::response announcement_service::list_upstreams() const
{
    const auto now = monotonic_now();
    json::array upstreams;
    for (const auto& [id, record] : gossip_.upstreams().records()) {
        auto item = json::parse(http::to_json(record.last_announcement)).as_object();
        item["state"] = record.state;
        item["heard_ms_ago"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - record.last_seen).count();
        upstreams.push_back(std::move(item));
    }
    json::object body;
    body["upstreams"] = std::move(upstreams);
    return json_response(body);
}

http::response announcement_service::list_members() const
{
    json::array members;
    for (const auto& [key, member] : gossip_.members().all()) {
        json::object item;
        item["name"] = member.settings.id.value();
        item["role"] = to_string(member.settings.role);
        item["failure_domain"] = member.settings.domain.value();
        item["region"] = member.settings.region.value();
        item["status"] = to_string(member.status);
        item["incarnation"] = member.incarnation_number.value();
        members.push_back(std::move(item));
    }
    json::object body;
    body["members"] = std::move(members);
    return json_response(body);
}

} // namespace galenaturn::entryd
