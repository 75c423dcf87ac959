#pragma once

/** Messages between galenaturn processes and their codec, without the transport. */

#include "libwire/announcements.h"
#include "libwire/codec.h"
#include "libwire/commands.h"
#include "libwire/digest.h"
#include "libwire/frame.h"
#include "libwire/jobs.h"
#include "libwire/voterchange.h"
#include "libwire/wireerrors.h"
