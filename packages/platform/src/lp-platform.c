#include "lp-platform.h"
