#pragma once

/** The membership library: gossip between our processes and the announcements it carries. */

#include "libmembership/announcementtable.h"
#include "libmembership/gossipnode.h"
#include "libmembership/membershiperrors.h"
#include "libmembership/roster.h"
