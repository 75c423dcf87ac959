#pragma once

/** The membership library: which processes and upstreams are alive, spread by gossip. */

#include "libmembership/announcementtable.h"
#include "libmembership/gossipnode.h"
#include "libmembership/membershiperrors.h"
#include "libmembership/roster.h"
