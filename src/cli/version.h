#pragma once

#define POND_VERSION "0.1.0"
