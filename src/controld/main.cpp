#include <galenaturn/daemon.h>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    return daemon::run(argc, argv, process_role::control, [](daemon::context& /*shared*/) {
        std::vector<std::unique_ptr<daemon::service>> services;
        return services;
    });
}
