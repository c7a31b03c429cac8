/// \file
/// Plays one case: `play_case <name>`. Exits with 1 if the rule was broken, 0
/// if it held and 2 if the case could not run. With TROUBLE=0 in the
/// environment the disruption is left out.

#include "cases.h"

#include <iostream>

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: play_case <name>\n";
    return 2;
  }
  try {
    return review::Play(argv[1], review::HasTrouble());
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return 2;
  }
}
