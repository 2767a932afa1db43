// Package api holds the OpenAPI documents of the project's HTTP interfaces. The packages below it are generated from them.
package api

//go:generate sh generate.sh
