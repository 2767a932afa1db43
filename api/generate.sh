#!/bin/sh
# Generates the packages of the HTTP interfaces. The argument is the folder to write to, by default this one.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out=${1:-$here}
mkdir -p "$out"
out=$(cd "$out" && pwd)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd "$here/../tools" && GOWORK=off go build -o "$bin/ogen" github.com/ogen-go/ogen/cmd/ogen)
cd "$here"
for name in caller operator upstream platform; do
	"$bin/ogen" --target "$out/$name" --package "$name" --clean --config ogen.yml "$name.yaml"
done
