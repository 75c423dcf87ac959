#pragma once

#include "gossipservice.h"

namespace galenaturn::entryd {

/** HTTP interface for the announcements of upstreams and workers; lists upstreams and members. */
class announcement_service : public daemon::service {
public:
    /** `gossip` outlives the service. */
    announcement_service(daemon::context& shared, gossip_service& gossip);

    result<void> start() override;

private:
    boost::asio::awaitable<http::response> put_upstream(http::call& incoming);
    /** Forwards to an entry of the announced domain; handles it here if none replies. */
    boost::asio::awaitable<std::string> deliver(wire::upstream_announcement announcement);
    void on_forwarded_announcement(const wire::frame& received, const wire::reply_function& reply);
    boost::asio::awaitable<http::response> put_worker(http::call& incoming);
    http::response refuse_malformed(const std::vector<http::field_problem>& problems);
    http::response refuse_leaving();
    http::response refuse_unknown_domain(const failure_domain_id& domain);
    [[nodiscard]] bool is_known_domain(const failure_domain_id& domain) const;
    /** Returns connected control processes: those of `domain`, then of its region, then others. */
    std::vector<wire::peer_link*> find_controls(const failure_domain_id& domain);
    [[nodiscard]] http::response list_upstreams() const;
    [[nodiscard]] http::response list_members() const;

    daemon::context& shared_;
    gossip_service& gossip_;
    std::map<std::string, counter*> refusals_;
    counter& workers_forwarded_;
    counter& upstreams_forwarded_;
};

} // namespace galenaturn::entryd
