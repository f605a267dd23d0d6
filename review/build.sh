#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/stand-in/*.java
