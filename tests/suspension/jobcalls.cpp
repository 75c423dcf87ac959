#include "jobcalls.h"

namespace galenaturn::suspension {

std::string path_of(const std::string& job)
{
    return "/jobs/" + job;
}

std::string job_text(const std::string& method, const std::string& path, const std::string& body)
{
    return soak::request_text(method, path, "jobs.example", "Galenaturn-Request-Deadline: 1000\r\n",
                              body);
}

soak::http_message call(const soak::soak_process& entry, const std::string& method,
                        const std::string& path, const std::string& body)
{
    return soak::call_once(entry.address, job_text(method, path, body), answer_limit);
}

bool shows(const soak::http_message& answer, const std::string& state)
{
    return answer.status == 200 && answer.body.find('"' + state + '"') != std::string::npos;
}

} // namespace galenaturn::suspension
