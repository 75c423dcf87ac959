#include "posixfile.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace galenaturn::ledger {

namespace {

constexpr int file_mode = 0600;

} // namespace

posix_file::posix_file(posix_file&& other) noexcept
    : descriptor_{std::exchange(other.descriptor_, -1)}
{
}

posix_file& posix_file::operator=(posix_file&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

posix_file::~posix_file()
{
    if (is_open())
        ::close(descriptor_);
}

result<void> posix_file::write(std::string_view data)
{
    while (!data.empty()) {
        const auto written = ::write(descriptor_, data.data(), data.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return make_error_code(ledger_error::write_failed);
        data.remove_prefix(static_cast<std::size_t>(written));
    }
    return success();
}

result<void> posix_file::sync()
{
    // A failed sync may have dropped the data, so it must not be retried on the same file.
    if (::fdatasync(descriptor_) != 0)
        return make_error_code(ledger_error::sync_failed);
    return success();
}

result<posix_file> open_for_append(const std::string& path)
{
    posix_file file{::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, file_mode)};
    if (!file.is_open())
        return make_error_code(ledger_error::write_failed);
    return file;
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in)
        return make_error_code(ledger_error::folder_unusable);
    std::string content{std::istreambuf_iterator<char>{in}, std::istreambuf_iterator<char>{}};
    if (in.bad())
        return make_error_code(ledger_error::folder_unusable);
    return content;
}

result<void> sync_folder(const std::string& path)
{
    const posix_file folder{::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (!folder.is_open() || ::fsync(folder.descriptor()) != 0)
        return make_error_code(ledger_error::sync_failed);
    return success();
}

result<void> replace_file(const std::string& folder, const std::string& name, std::string_view data)
{
    const auto temporary = folder + "/" + name + ".new";
    ::unlink(temporary.c_str());
    auto file = open_for_append(temporary);
    if (!file)
        return file.error();
    if (auto written = file.value().write(data); !written)
        return written;
    if (auto synced = file.value().sync(); !synced)
        return synced;
    if (::rename(temporary.c_str(), (folder + "/" + name).c_str()) != 0)
        return make_error_code(ledger_error::write_failed);
    return sync_folder(folder);
}

result<posix_file> lock_file(const std::string& path)
{
    posix_file file{::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode)};
    if (!file.is_open())
        return make_error_code(ledger_error::folder_unusable);
    if (::flock(file.descriptor(), LOCK_EX | LOCK_NB) != 0)
        return make_error_code(ledger_error::folder_locked);
    return file;
}

std::vector<std::string> list_folder(const std::string& path)
{
    std::vector<std::string> names;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator{path, ignored})
        names.push_back(entry.path().filename().string());
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace galenaturn::ledger
