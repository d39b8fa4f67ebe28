#include "carobflow/platform/objectstore.h"
#include "carobflow/platform/tableservice.h"
#include "carobflow/platform/workerruntime.h"
