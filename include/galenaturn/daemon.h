#pragma once

/** The daemon library: what galenaturn-entry and galenaturn-control share to start and run. */

#include "libdaemon/daemon.h"
#include "libdaemon/gossiprunner.h"
#include "libdaemon/lifecycle.h"
#include "libdaemon/rosterservice.h"
