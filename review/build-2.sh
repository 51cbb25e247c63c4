#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 (review/stand-in-2) into target/review-2; needs the JDK only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stand-in-2/*.java
