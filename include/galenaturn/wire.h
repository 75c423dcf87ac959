#pragma once

/** The wire library: messages, their codec, and the channels between galenaturn processes. */

#include "galenaturn/messages.h"
#include "libwire/boottimer.h"
#include "libwire/channel.h"
#include "libwire/datagram.h"
#include "libwire/ledgerclient.h"
