#!/bin/sh
# Builds the program that the scripts of review/6 to review/10 start: the stand-ins of the platform's
# store, of runners and of clients. Needs g++ only.
set -e
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/standin-2/bin"
g++ -std=c++17 -O1 -Wall -Wextra -pthread "$here/standin-2/main.cpp" -o "$here/standin-2/bin/site"
