#include "cataloguepush.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <set>

namespace galenaturn::controld {

namespace {

constexpr duration push_timeout = std::chrono::milliseconds{1500};

} // namespace

catalogue_push::catalogue_push(daemon::context& shared)
    : shared_{shared}, pushed_{shared.metrics.make_counter("galenaturn_catalogue_pushes_total",
                                                           {{"outcome", "taken"}})},
      failed_{shared.metrics.make_counter("galenaturn_catalogue_pushes_total",
                                          {{"outcome", "no_answer"}})}
{
    std::set<failure_domain_id> domains_with_control;
    for (const auto& member : shared.settings.members) {
        if (member.role == process_role::control)
            domains_with_control.insert(member.domain);
    }
    for (const auto& member : shared.settings.members) {
        if (member.role != process_role::entry)
            continue;
        if (member.domain == shared.settings.self.domain)
            own_entries_.push_back(member.id);
        else if (!domains_with_control.contains(member.domain))
            other_entries_.push_back(member.id);
    }
}

void catalogue_push::push(const wire::catalogue_document& document, bool leads)
{
    auto entries = own_entries_;
    if (leads)
        entries.insert(entries.end(), other_entries_.begin(), other_entries_.end());
    const auto payload = wire::encode(document);
    for (const auto& entry : entries)
        boost::asio::co_spawn(shared_.io, send(this, entry, payload), boost::asio::detached);
}

boost::asio::awaitable<void> catalogue_push::send(catalogue_push* self, process_id entry,
                                                  std::string payload)
{
    auto* link = self->shared_.peers.find(entry);
    const auto reply = co_await link->call(wire::frame_kind::catalogue_push, std::move(payload),
                                           monotonic_now() + push_timeout);
    // An entry that missed a push gets the version by polling.
    (reply ? self->pushed_ : self->failed_).add();
}

} // namespace galenaturn::controld
