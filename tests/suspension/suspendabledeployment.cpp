#include "suspendabledeployment.h"

#include <boost/json.hpp>

#include <arpa/inet.h>

#include <csignal>
#include <cstdlib>
#include <thread>

namespace galenaturn::suspension {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds publish_limit{30};
constexpr milliseconds answer_limit{1000};

suspension_table* make_table(const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    const auto path = folder / "suspensions";
    setenv(table_variable, path.c_str(), 1);
    return map_table(path.c_str(), true);
}

std::size_t slot_of(const soak::socket_address& address)
{
    return ntohl(inet_addr(address.ip.c_str())) % suspension_table::slots;
}

} // namespace

suspendable_deployment::suspendable_deployment(const std::filesystem::path& programs,
                                               std::filesystem::path folder, int controls)
    : folder_{std::move(folder)}, table_{make_table(folder_)}, processes_{programs,
                                                                          folder_,
                                                                          {controls, 0, 0}}
{
}

bool suspendable_deployment::start(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    if (table_ == nullptr || !processes_.start(random))
        return false;
    callers_.life_of = [this](const std::string& name) { return processes_.life_of(name); };
    for (const auto* control : processes_.all_of(soak::process_kind::control))
        callers_.controls.push_back({control->name, control->address});
    return publish();
}

void suspendable_deployment::suspend(soak::soak_process& process)
{
    table_->is_away[slot_of(process.address)] = true;
    suspended_at_[process.name] = monotonic_now();
    processes_.signal(process, SIGSTOP);
}

void suspendable_deployment::resume(soak::soak_process& process, steady_clock_while_away clock)
{
    const auto span = monotonic_now() - suspended_at_[process.name];
    if (clock == steady_clock_while_away::stands_still)
        table_->suspended_ns[static_cast<std::size_t>(process.pid) % suspension_table::slots] +=
            std::chrono::nanoseconds{span}.count();
    table_->is_away[slot_of(process.address)] = false;
    suspended_at_.erase(process.name);
    processes_.signal(process, SIGCONT);
}

bool suspendable_deployment::publish()
{
    return soak::publish_next(callers_, monotonic_now() + publish_limit);
}

soak::soak_process* suspendable_deployment::leader()
{
    for (auto* control : processes_.all_of(soak::process_kind::control)) {
        const auto request = soak::request_text("GET", "/v1/status", "status", "", "");
        const auto status = soak::call_once(control->address, request, answer_limit);
        if (status.status == 200 &&
            boost::json::parse(status.body).at("ledger").at("role") == "leader")
            return control;
    }
    return nullptr;
}

int suspendable_deployment::acknowledged_version() const
{
    int newest = 0;
    for (const auto& change : callers_.changes) {
        if (change.acknowledged != time_point::max())
            newest = std::max(newest, change.version);
    }
    return newest;
}

int read_version(soak::http_socket& connection)
{
    const auto request = soak::request_text("GET", "/-/config", "control", "", "");
    if (!connection.send(request))
        return 0;
    const auto answer = connection.read(monotonic_now() + answer_limit);
    if (!answer || answer->status != 200)
        return 0;
    return static_cast<int>(boost::json::parse(answer->body).at("version").as_int64());
}

} // namespace galenaturn::suspension
