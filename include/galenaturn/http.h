#pragma once

/** The HTTP library: server, router, client, problem responses and the JSON of announcements. */

#include "libhttp/announcementjson.h"
#include "libhttp/clienterrors.h"
#include "libhttp/httpclient.h"
#include "libhttp/httpserver.h"
#include "libhttp/sessionpool.h"
