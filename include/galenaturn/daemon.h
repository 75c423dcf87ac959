#pragma once

/** The daemon library: what galenaturn-entry and galenaturn-control have in common. */

#include "libdaemon/daemon.h"
#include "libdaemon/gossiprunner.h"
#include "libdaemon/lifecycle.h"
#include "libdaemon/rosterservice.h"
