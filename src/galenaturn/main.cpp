#include <gflags/gflags.h>

int main(int argc, char** argv)
{
    gflags::SetVersionString(GALENATURN_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return 0;
}
