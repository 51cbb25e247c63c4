#!/bin/sh
# Builds the stand-ins and the cases that are scripts. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && javac -d target/review review/rig/*.java review/[1-9]/*.java
