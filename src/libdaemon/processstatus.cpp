#include "processstatus.h"

#include <boost/json.hpp>

#include <sstream>

namespace galenaturn::daemon {

namespace {

namespace json = boost::json;

template <class Value>
json::string text_of(const Value& value)
{
    std::ostringstream out;
    out << value;
    return json::string{out.str()};
}

json::array names_of(const std::vector<voter_id>& voters)
{
    json::array list;
    for (const auto& voter : voters)
        list.emplace_back(voter.value());
    return list;
}

json::object ledger_object(const wire::ledger_status& ledger)
{
    return {{"voter", ledger.voter.value()},         {"role", ledger.role},
            {"leader", ledger.leader.value()},       {"term", ledger.current_term.value()},
            {"committed", ledger.committed.value()}, {"applied", ledger.applied.value()},
            {"voters", names_of(ledger.voters)},     {"learners", names_of(ledger.learners)}};
}

json::object member_object(const member_settings& member)
{
    return {{"name", member.id.value()},
            {"role", to_string(member.role)},
            {"failure_domain", member.domain.value()},
            {"region", member.region.value()},
            {"http", text_of(member.http)},
            {"peer", text_of(member.peer)}};
}

} // namespace

std::string status_json(const process_status& status, const process_settings& settings)
{
    auto body = member_object(status.self);
    body["ready"] = status.ready;
    body["accepting"] = status.accepting;
    body["catalogue_version"] = status.version.value();
    body["catalogue_digest"] = status.digest;
    if (status.ledger)
        body["ledger"] = ledger_object(*status.ledger);
    json::array members;
    for (const auto& member : settings.members)
        members.emplace_back(member_object(member));
    body["members"] = std::move(members);
    return json::serialize(body);
}

} // namespace galenaturn::daemon
