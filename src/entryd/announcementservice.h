#pragma once

#include "gossipservice.h"

namespace galenaturn::entryd {

/** HTTP edge of upstreams and workers: takes announcements, lists what this entry knows. */
class announcement_service : public daemon::service {
public:
    /** `gossip` outlives the service. */
    announcement_service(daemon::context& shared, gossip_service& gossip);

    result<void> start() override;

private:
    boost::asio::awaitable<http::response> take_upstream(http::call& incoming);
    /** Hears the announcement at an entry of the upstream's domain, here where none answers. */
    boost::asio::awaitable<std::string> hear(wire::upstream_announcement announcement);
    void take_passed_on(const wire::frame& received, const wire::reply_function& reply);
    boost::asio::awaitable<http::response> take_worker(http::call& incoming);
    http::response refuse_malformed(const std::vector<http::field_problem>& problems);
    http::response refuse_leaving();
    http::response refuse_unknown_domain(const failure_domain_id& domain);
    [[nodiscard]] bool is_known(const failure_domain_id& domain) const;
    /** Returns the links to control processes, those of `domain` and of its region first. */
    std::vector<wire::peer_link*> find_controls(const failure_domain_id& domain);
    [[nodiscard]] http::response list_upstreams() const;
    [[nodiscard]] http::response list_members() const;

    daemon::context& shared_;
    gossip_service& gossip_;
    std::map<std::string, counter*> refusals_;
    counter& workers_forwarded_;
    counter& upstreams_passed_on_;
};

} // namespace galenaturn::entryd
