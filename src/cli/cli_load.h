/** @file
 * sapphirepond load: generates load and measures latencies. */
#pragma once

/** @return the exit code. */
int cli_load (int argc, char **argv);
