#include "channel.h"

#include <algorithm>
#include <utility>

namespace galenaturn::wire {

void frame_router::on(frame_kind kind, frame_handler handler)
{
    handlers_[kind] = std::move(handler);
}

bool frame_router::dispatch(const hello& from, frame received, reply_function reply) const
{
    const auto handler = handlers_.find(received.kind);
    if (handler == handlers_.end())
        return false;
    handler->second(from, std::move(received), std::move(reply));
    return true;
}

channel_counters::channel_counters(metrics_registry& metrics)
    : frames_sent{metrics.make_counter("galenaturn_frames_sent_total")},
      frames_received{metrics.make_counter("galenaturn_frames_received_total")},
      bytes_sent{metrics.make_counter("galenaturn_frame_bytes_sent_total")},
      bytes_received{metrics.make_counter("galenaturn_frame_bytes_received_total")},
      frames_dropped{metrics.make_counter("galenaturn_frames_dropped_total")},
      frames_malformed{metrics.make_counter("galenaturn_frames_malformed_total")},
      frames_failed{metrics.make_counter("galenaturn_frames_failed_total")},
      frames_refused{metrics.make_counter("galenaturn_frames_refused_total")},
      connections_refused{metrics.make_counter("galenaturn_peer_connections_refused_total")},
      reconnects{metrics.make_counter("galenaturn_peer_reconnects_total")}
{
}

bool channel_context::refuses(const failure_domain_id& domain) const
{
    return std::find(refused_domains.begin(), refused_domains.end(), domain) !=
           refused_domains.end();
}

peer_directory::peer_directory(channel_context& context, const process_settings& settings)
    : context_{context}
{
    context_.on_hello = [this](const process_id& process) {
        if (auto* link = find(process))
            link->retry();
    };
    for (const auto& member : settings.members) {
        if (member.id == settings.self.id)
            members_.push_back(member);
        else
            learn(member);
    }
}

peer_directory::~peer_directory()
{
    context_.on_hello = nullptr;
}

void peer_directory::start()
{
    started_ = true;
    for (auto& [process, link] : links_)
        link->start();
}

void peer_directory::learn(const member_settings& member)
{
    if (member.id == context_.self.process)
        return;
    if (auto* known = find(member.id)) {
        known->set_domain(member.domain);
        std::replace_if(
            members_.begin(), members_.end(),
            [&](const auto& listed) { return listed.id == member.id; }, member);
        return;
    }
    members_.push_back(member);
    auto link = std::make_unique<peer_link>(context_, member.peer, member.domain);
    if (started_)
        link->start();
    links_.emplace(member.id, std::move(link));
}

void peer_directory::forget(const process_id& process)
{
    links_.erase(process);
    std::erase_if(members_, [&](const auto& member) { return member.id == process; });
}

void peer_directory::close()
{
    for (auto& [process, link] : links_)
        link->close();
}

peer_link* peer_directory::find(const process_id& process)
{
    const auto link = links_.find(process);
    return link == links_.end() ? nullptr : link->second.get();
}

} // namespace galenaturn::wire
