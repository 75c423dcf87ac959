#include "suspensiontable.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

namespace galenaturn::suspension {

suspension_table* map_table(const char* path, bool create)
{
    const int file = open(path, O_RDWR | (create ? O_CREAT | O_TRUNC : 0), 0600);
    if (file < 0)
        return nullptr;
    void* mapped = MAP_FAILED;
    if (!create || ftruncate(file, sizeof(suspension_table)) == 0)
        mapped =
            mmap(nullptr, sizeof(suspension_table), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    return mapped == MAP_FAILED ? nullptr : static_cast<suspension_table*>(mapped);
}

} // namespace galenaturn::suspension
