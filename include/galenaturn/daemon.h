#pragma once

/** The daemon library: code shared by galenaturn-entry and galenaturn-control. */

#include "libdaemon/daemon.h"
#include "libdaemon/gossiprunner.h"
#include "libdaemon/lifecycle.h"
#include "libdaemon/pausemonitor.h"
#include "libdaemon/rosterservice.h"
